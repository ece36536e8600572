"""Tests of orders with real processes, one of which is suspended and resumed."""

import signal
import time
import unittest

from ibispaddle_bench.fleet import OPERATOR_KEY, Fleet, FleetSpec
from ibispaddle_bench.processes import call_json
from ibispaddle_client.api import OperatorApi
from ibispaddle_client.exceptions import ClientError
from ibispaddle_core.membership import rendezvous_select
from ibispaddle_core.orders import Action, Order, order_record

from tests.support.operators import invoke_json
from tests.support.waiting import wait_until

WAIT_S = 15.0
# Time in which the log ends all pending reads, so that a suspended process gets no new records.
PENDING_READS_END_S = 1.0


class OrdersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(FleetSpec(entries=2, runners=6, services=0))
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)

    def invoke(self, *args, entry):
        return invoke_json(self.fleet.entries[entry], *args)

    def wait_for_role(self, runners, role):
        for runner in runners:
            load = f"{runner.url}/load"
            text = f"{runner.name} {role}"
            wait_until(lambda load=load: call_json(load)["role"] == role, text, WAIT_S)

    def test_late_order_of_a_suspended_executor_is_rejected_or_corrected(self):
        """Guard against a resumed executor that puts an older order into effect permanently."""
        names = [entry.name for entry in self.fleet.entries]
        runners = [
            r for r in self.fleet.runners if rendezvous_select(r.name, names) == (names[0],)
        ][:2]
        checking, ignoring = runners
        checking.set_faults(fencing=True)
        for runner in runners:
            self.invoke("order", runner.name, "set_role", "prefill", entry=1)
            self.invoke("order", runner.name, "load_model", "other", entry=1)
        self.wait_for_role(runners, "prefill")
        api = OperatorApi(self.fleet.entries[1].url, OPERATOR_KEY)
        shown = {row["upstream_id"]: row for row in api.get("orders")["upstreams"]}
        for runner in runners:
            self.assertEqual(shown[runner.name]["executor"], names[0])
            actions = [order["action"] for order in shown[runner.name]["orders"]]
            self.assertEqual(actions, ["set_role", "load_model"])
        with self.assertRaisesRegex(ClientError, "unknown_runner"):
            api.post("orders", order_record(unknown_runner_order()))
        for runner in runners:
            wait_until(lambda r=runner: "other" in r.state()["models"], "model", WAIT_S)
        suspended = self.fleet.entries[0]
        suspended.signal(signal.SIGSTOP)
        self.fleet.log.set_faults(read_outage=True)
        time.sleep(PENDING_READS_END_S)
        self.fleet.log.set_faults(read_outage=False)
        for runner in runners:
            self.invoke("order", runner.name, "set_role", "decode", entry=1)
        self.wait_for_role(runners, "decode")
        # Without the log, the resumed executor cannot learn that it was replaced.
        self.fleet.log.set_faults(outage=True)
        suspended.signal(signal.SIGCONT)
        wait_until(lambda: rejected_orders(checking), "late order at the checking runner", WAIT_S)
        wait_until(lambda: applied_roles(ignoring).count("prefill") > 1, "late order", WAIT_S)
        self.fleet.log.set_faults(outage=False)
        self.wait_for_role(runners, "decode")
        time.sleep(3.0)  # Longer than one reconciliation, in which nothing may change.
        self.wait_for_role(runners, "decode")
        self.assertEqual(applied_roles(checking), ["prefill", "decode"])


def unknown_runner_order():
    return Order("o", "runner.99", Action.SET_ROLE, {"role": "prefill"})


def rejected_orders(runner):
    return [order for order in runner.state()["orders"] if not order["accepted"]]


def applied_roles(runner):
    """Return the roles set by orders, without consecutive duplicates."""
    found = []
    for order in runner.state()["orders"]:
        if order["accepted"] and order["action"] == "set_role":
            role = order["args"]["role"]
            if found[-1:] != [role]:
                found.append(role)
    return found


if __name__ == "__main__":
    unittest.main()
