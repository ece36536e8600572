"""Tests of fleets that consist of stand-ins only."""

import os
import socket
import unittest

from ibispaddle_bench.fleet import Fleet, FleetSpec, merge_documents
from ibispaddle_bench.processes import (
    ProcessError,
    call_json,
    reserve_ports,
    start_stand_in,
    wait_until_ready,
)
from ibispaddle_core.settings import load_fleet, load_instance


class FleetTest(unittest.TestCase):
    def test_stand_ins_are_listed_and_end_with_the_fleet(self):
        """Guard against processes that outlive the fleet that started them."""
        with Fleet(FleetSpec(entries=0, runners=2, services=1)) as fleet:
            listed = call_json(f"{fleet.instance_list.url}/instances")["entries"]
            pids = [process.pid for process in fleet._processes]
            folder = fleet.folder
        self.assertEqual([entry["id"] for entry in listed], ["runner.1", "runner.2", "service.1"])
        self.assertEqual([entry["data_centre"] for entry in listed], ["dc.1", "dc.2", "dc.1"])
        self.assertEqual(len(pids), 6)
        for pid in pids:
            with self.assertRaises(ProcessLookupError):
                os.kill(pid, 0)
        self.assertFalse(folder.exists())

    def test_restarted_runner_keeps_its_address_and_gets_a_new_boot_id(self):
        """Guard against a restart that appears as a different runner or is not detectable."""
        with Fleet(FleetSpec(entries=0, runners=1, services=0)) as fleet:
            before, state = fleet.runners[0], fleet.runners[0].state()
            before.kill()
            after = fleet.restart_runner(0)
            self.assertEqual((after.port, after.name), (before.port, before.name))
            self.assertNotEqual(after.state()["boot_id"], state["boot_id"])
            self.assertEqual(after.state()["models"], state["models"])

    def test_documents_pass_the_settings_checks(self):
        """Guard against generated settings that the daemon rejects."""
        spec = FleetSpec(entries=1, configuration={"limits": {"max_requests": 7}})
        config = load_fleet({"base": spec.configuration_document()})
        self.assertEqual(config.limits.max_requests, 7)
        with Fleet(FleetSpec(entries=0, runners=0, services=0)) as fleet:
            settings = load_instance(fleet.settings("entry.2", 1, 2))
        self.assertEqual(settings.data_centre, "dc.2")

    def test_process_that_ends_is_reported(self):
        """Guard against waiting until the timeout for a process that has already ended."""
        with self.assertRaisesRegex(ProcessError, "ended with status 2"):
            start_stand_in("engine", "--no-such-option")
        engine = start_stand_in("engine")
        engine.kill()
        with self.assertRaisesRegex(ProcessError, "ended with status -9"):
            wait_until_ready(f"{engine.url}/readyz", 20, engine)


class PortTest(unittest.TestCase):
    def reserve(self, count: int) -> list[int]:
        """Reserve ports for the duration of the test and return them."""
        sockets = reserve_ports(count)
        for sock in sockets:
            self.addCleanup(sock.close)
        return [sock.getsockname()[1] for sock in sockets]

    def test_ports_are_distinct(self):
        """Guard against two instances that are configured with the same port."""
        self.assertEqual(len(set(self.reserve(50))), 50)

    def test_reserved_port_can_be_listened_on(self):
        """Guard against a reservation that keeps an instance from listening on its port, even again."""
        (port,) = self.reserve(1)
        for _ in range(2):
            with socket.create_server(("127.0.0.1", port)):
                socket.create_connection(("127.0.0.1", port)).close()

    def test_reserved_port_is_given_to_nobody_else(self):
        """Guard against outgoing connections that are assigned the port of an instance."""
        ports = set(self.reserve(20))
        with socket.create_server(("127.0.0.1", 0), backlog=2_000) as server:
            address = server.getsockname()
            conns = [socket.create_connection(address) for _ in range(500)]
            self.assertFalse(ports & {conn.getsockname()[1] for conn in conns})
            for conn in conns:
                conn.close()

    def test_port_of_a_killed_stand_in_stays_reserved(self):
        """Guard against calls to a killed stand-in that reach another process on the machine."""
        stand_in = start_stand_in("service")
        stand_in.kill()
        with socket.socket() as sock, self.assertRaisesRegex(OSError, "in use"):
            sock.bind(("127.0.0.1", stand_in.port))
        again = start_stand_in("service", port=stand_in.port)
        self.addCleanup(again.kill)
        self.assertEqual(call_json(f"{again.url}/admin/state")["runs"], [])


class MergeTest(unittest.TestCase):
    def test_nested_objects_are_merged(self):
        """Guard against a change that removes other keys of the same object."""
        base = {"a": {"b": 1, "c": 2}, "d": 3}
        self.assertEqual(merge_documents(base, {"a": {"b": 5}}), {"a": {"b": 5, "c": 2}, "d": 3})


if __name__ == "__main__":
    unittest.main()
