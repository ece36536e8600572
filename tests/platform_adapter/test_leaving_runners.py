"""Tests of runners that state in their responses that they leave, while the store has them as ready."""

import time
import unittest

from tests.support.waiting import wait_until

from .processes import Platform

BORN_MS = 1_700_000_000_000
# The time after which a leaving runner must not get requests; instances have no reason to use it.
DRAIN_S = 2.0


class LeavingRunnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=2, services=2)
        self.addCleanup(self.platform.__exit__)
        self.instance = self.platform.instance

    def register(self, process, service: str, born: int) -> None:
        self.platform.register_at(process.name, process.address, service, born=born)

    def send(self, path: str, count: int = 12) -> set[int]:
        if path == "stream":
            return {self.instance.stream().status for _ in range(count)}
        return {self.instance.call("POST", f"/{path}/x").status for _ in range(count)}

    def check(self, path: str, processes: list) -> None:
        leaving, other = processes
        leaving.set_faults(leaving=True)

        def is_known() -> bool:
            self.send(path, 1)
            return any(
                line["upstream"] == leaving.name
                for line in self.instance.events("upstream_leaving")
            )

        wait_until(is_known, "response of the leaving upstream")
        before = len(leaving.state()["runs"])
        self.assertEqual(self.send(path), {200})
        # Neither an outage of the store nor a heartbeat brings it back.
        self.platform.store.set_faults(outage=True)
        time.sleep(DRAIN_S)
        self.assertEqual(self.send(path), {200})
        self.platform.store.set_faults(outage=False)
        self.assertEqual(len(leaving.state()["runs"]), before)
        self.assertGreaterEqual(len(other.state()["runs"]), 24)

    def test_stream_runner_that_leaves(self) -> None:
        """Guards against requests to a runner that has stated that it leaves."""
        self.check("stream", self.platform.runners)

    def test_service_that_leaves(self) -> None:
        """Guards against calls that may not be repeated to a service that has stated that it leaves."""
        self.check("once", self.platform.services)

    def test_next_process_under_the_same_id_gets_work(self) -> None:
        """Guards against a restarted runner that gets no work because the one before it left."""
        leaving, other = self.platform.runners
        self.register(leaving, "llm", BORN_MS)
        self.register(other, "llm", BORN_MS)
        time.sleep(1.0)
        self.check("stream", self.platform.runners)
        leaving.set_faults(leaving=False)
        before = len(leaving.state()["runs"])
        self.register(leaving, "llm", BORN_MS + 5_000)

        def gets_work() -> bool:
            self.send("stream", 2)
            return len(leaving.state()["runs"]) > before

        wait_until(gets_work, "work for the next process")


if __name__ == "__main__":
    unittest.main()
