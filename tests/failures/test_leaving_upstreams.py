"""An upstream that leaves gets no new requests and completes the ones it has."""

import threading
import time
from collections.abc import Callable
from dataclasses import replace

from ibispaddle_bench.processes import ManagedProcess
from ibispaddle_core.logevents import UPSTREAM_LEAVING

from tests.support.operators import invoke
from tests.support.waiting import wait_until

from .support import FleetTest, ModelCall, ServiceCall

# Limit for the last new request, from the time the list has the change.
LIST_CHANGE_LIMIT_S = 2.0
# From the time a change of the configuration is in force; allows for requests already sent.
IN_TRANSIT_S = 0.1
DRAIN_LIMIT_S = 4.0
# Limit for the last new request, from the runner's own report, while the list is stale.
STALE_LIST_LIMIT_S = 5.0
LIST_LAG_MS = 60_000


class LeavingFleetTest(FleetTest):
    """Two upstreams of each kind under constant load, with the default intervals."""

    SPEC = replace(
        FleetTest.SPEC, entries=2, runners=2, services=2, time_scale=2.0, instance_settings={}
    )
    FLEET_PER_TEST = True

    def setUp(self) -> None:
        super().setUp()
        self.calls: list[ModelCall | ServiceCall] = []
        self._stop_load = threading.Event()
        self._threads = [threading.Thread(target=self._load, args=(number,)) for number in range(4)]
        for thread in self._threads:
            thread.start()
        self.addCleanup(self.end_load)

    def _load(self, number: int) -> None:
        entry = self.fleet.entries[number % 2]
        count = 0
        while not self._stop_load.wait(0.02):
            count += 1
            call: ModelCall | ServiceCall
            if number < 2:
                call = ModelCall(entry, prompt=f"{number} {count}", tokens=4)
            else:
                call = ServiceCall(entry, f"{number}/{count}")
            call.join()
            self.calls.append(call)

    def end_load(self) -> None:
        """Stop the load and check that all requests succeeded."""
        if self._stop_load.is_set():
            return
        self._stop_load.set()
        for thread in self._threads:
            thread.join()
        for call in self.calls:
            served = call.is_complete if isinstance(call, ModelCall) else call.status == 200
            self.assertTrue(served, vars(call))

    @staticmethod
    def arrivals(process: ManagedProcess) -> int:
        """Return the number of requests that have reached an upstream."""
        state = process.state()
        return state["arrivals"] if "arrivals" in state else state["arrived"]

    def check(
        self,
        process: ManagedProcess,
        change: Callable[[], None],
        settle_s: float = LIST_CHANGE_LIMIT_S,
    ) -> None:
        """Check that an upstream gets requests before the change and none after it."""
        before = self.arrivals(process)
        wait_until(lambda: self.arrivals(process) > before + 3, "use of the upstream")
        change()
        time.sleep(settle_s)
        after = self.arrivals(process)
        served = len(self.calls)
        time.sleep(1.5)
        self.assertEqual(self.arrivals(process), after)
        self.assertGreater(len(self.calls), served + 10)

    def mark_leaving(self, process: ManagedProcess) -> None:
        """Publish the state "leaving" for an upstream in the list."""
        self.fleet.states[process.name] = "leaving"
        self.fleet.publish()

    def unlist(self, process: ManagedProcess) -> None:
        """Remove an upstream that still responds from the list."""
        self.fleet.unlisted.add(process.name)
        self.fleet.publish()

    def operate(self, *args: str) -> None:
        """Run a command of the operators' client."""
        outcome = invoke(self.entry, *args)
        self.assertIsNone(outcome.exception, f"{outcome.output} {outcome.exception}")

    def drain(self, process: ManagedProcess) -> None:
        """Drain an upstream as an operator and wait until the change is in force everywhere."""
        # Apply the base layer first: the one from the files is used only while the log has none.
        self.operate("config", "apply", str(self.fleet.folder / "base.json"))
        started = time.monotonic()
        self.operate("upstreams", "drain", process.name, "--wait")
        self.assertLess(time.monotonic() - started, DRAIN_LIMIT_S)
        logged_event = f'"event":"upstream_leaving","text":"{UPSTREAM_LEAVING.text}",'
        logged_event += f'"upstream":"{process.name}","state":"drained"'
        self.assertIn(logged_event, self.entry.log_file.read_text())


class LeavingTest(LeavingFleetTest):
    """The list or the configuration has a change at once."""

    def check_with_streams(
        self, change: Callable[[ManagedProcess], None], settle_s: float = LIST_CHANGE_LIMIT_S
    ) -> None:
        """Check that the streams of an engine continue after the change."""
        prompts = [f"long stream {n}" for n in range(8)]
        streams = [ModelCall(self.entry, prompt=p, tokens=900, timeout_ms=30_000) for p in prompts]
        for stream in streams:
            stream.wait_for_tokens()
        self.check(self.runner, lambda: change(self.runner), settle_s)
        self.end_load()
        running = self.runner.state()["running"]
        self.assertGreater(running, 0, "no stream was running at the engine, so nothing was tested")
        for stream in streams:
            self.assertTrue(stream.wait().is_complete, stream.describe())

    def test_leaving_runner(self):
        """Guard against new prompts for a leaving engine, and against cut streams."""
        self.check_with_streams(self.mark_leaving)

    def test_unlisted_runner(self):
        """Guard against new prompts for an engine that left the list, and against cut streams."""
        self.check_with_streams(self.unlist)

    def test_leaving_service(self):
        """Guard against new calls for a leaving service."""
        self.check(self.fleet.services[0], lambda: self.mark_leaving(self.fleet.services[0]))
        self.end_load()

    def test_unlisted_service(self):
        """Guard against new calls for a service that left the list, and against lost calls."""
        service = self.fleet.services[0]
        service.set_faults(answer_delay_ms=300)
        self.check(service, lambda: self.unlist(service))
        self.end_load()

    def test_runner_that_reports_that_it_leaves(self):
        """Guard against new prompts for an engine that reports "leaving" before the list does."""
        self.check(self.runner, lambda: self.runner.set_faults(leaving=True))
        self.end_load()

    def test_drained_runner(self):
        """Guard against new prompts for a drained engine, cut streams and an endless drain."""
        self.check_with_streams(self.drain, IN_TRANSIT_S)
        self.operate("upstreams", "restore", self.runner.name, "--wait")
        before = self.arrivals(self.runner)
        prompts = iter(range(1_000))

        def is_used() -> bool:
            ModelCall(self.entry, prompt=f"after {next(prompts)}", tokens=1).wait()
            return self.arrivals(self.runner) > before

        wait_until(is_used, "use of the restored engine")

    def test_drained_service(self):
        """Guard against new calls for a drained service, and against lost calls."""
        service = self.fleet.services[0]
        service.set_faults(answer_delay_ms=300)
        self.check(service, lambda: self.drain(service), IN_TRANSIT_S)
        self.end_load()


class StaleListTest(LeavingFleetTest):
    """The list is stale, so that instances depend on the runners' own load reports.

    The second and the fourth runner belong to the runner subset of the instance in the other data
    centre, which doesn't probe them and learns of their reports through gossip.
    """

    SPEC = replace(LeavingFleetTest.SPEC, runners=4)

    def check_stale_list(self) -> None:
        """Measure the time from the reports to the last new prompt, 2 s beyond the limit."""
        leaving = self.fleet.runners[1::2]
        for runner in leaving:
            before = self.arrivals(runner)
            wait_until(lambda r=runner, n=before: self.arrivals(r) > n + 3, "use of the runner")
        for runner in leaving:
            runner.set_faults(leaving=True)
            self.mark_leaving(runner)
        started, last_arrival_s = time.monotonic(), 0.0
        count = sum(map(self.arrivals, leaving))
        while (passed_s := time.monotonic() - started) < STALE_LIST_LIMIT_S + 2.0:
            if (arrivals := sum(map(self.arrivals, leaving))) > count:
                count, last_arrival_s = arrivals, passed_s
            time.sleep(0.02)
        print(f"last new prompt {last_arrival_s:.2f} s after the change")
        self.assertLess(last_arrival_s, STALE_LIST_LIMIT_S)
        self.end_load()

    def test_list_with_long_lag(self):
        """Guard against new prompts for leaving engines while the list lags behind."""
        self.fleet.instance_list.set_faults(lag_ms=LIST_LAG_MS)
        self.check_stale_list()

    def test_list_that_cannot_be_read(self):
        """Guard against new prompts for leaving engines during an outage of the list."""
        self.fleet.instance_list.set_faults(outage=True)
        self.check_stale_list()
