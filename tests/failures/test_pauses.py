"""An instance whose process was stopped catches up on changes before it accepts requests."""

import signal
import time
from dataclasses import replace

from ibispaddle_bench.fleet import OPERATOR_KEY, WORKSPACE_KEYS, sha256_hex
from ibispaddle_client.api import OperatorApi

from tests.support.http import is_ready
from tests.support.waiting import wait_until

from .support import FleetTest, ModelCall

OLD_KEY, KEPT_KEY = WORKSPACE_KEYS["large"], WORKSPACE_KEYS["small"]
# Time in which the log ends pending long polls, so that a stopped process receives no new records.
LONG_POLL_END_S = 1.0
PAUSE_S = 2.0
LOAD_S = 2.0


class PauseTest(FleetTest):
    """Three runners, two of which leave during the pause, with the default intervals."""

    SPEC = replace(FleetTest.SPEC, entries=3, runners=3, time_scale=2.0, instance_settings={})
    FLEET_PER_TEST = True

    def change_fleet(self) -> None:
        """Revoke an API key in the configuration and mark two runners as leaving."""
        document = self.SPEC.configuration_document()
        document["workspaces"]["large"]["key_sha256"] = [sha256_hex("another")]
        change = {
            "change_id": "revoke",
            "expected_revision": -1,
            "layer": "base",
            "document": document,
            "author": "ann",
        }
        api = OperatorApi(self.fleet.entries[1].url, OPERATOR_KEY)
        self.assertEqual(api.post("config", change)["revision"], 0)
        for runner in self.fleet.runners[1:]:
            self.fleet.states[runner.name] = "leaving"
        self.fleet.publish()

    def pause(self) -> None:
        """Stop the first instance's process and change the fleet meanwhile."""
        self.entry.signal(signal.SIGSTOP)
        self.fleet.log.set_faults(read_outage=True)
        time.sleep(LONG_POLL_END_S)
        self.fleet.log.set_faults(read_outage=False)
        self.change_fleet()
        time.sleep(PAUSE_S)

    def send_calls(self, number: int) -> list[ModelCall]:
        """Send one request with the revoked key and two with the other key."""
        keys = (OLD_KEY, KEPT_KEY, KEPT_KEY)
        return [
            ModelCall(self.entry, prompt=f"{number} {index}", tokens=2, key=key)
            for index, key in enumerate(keys)
        ]

    def check_after_continue(self) -> float:
        """Continue the instance under load, check it and return the seconds until it is ready."""
        leaving = self.fleet.runners[1:]
        before = [runner.state()["arrivals"] for runner in leaving]
        calls = [call for number in range(5) for call in self.send_calls(number)]
        time.sleep(0.3)  # The requests are queued in the sockets of the stopped process.
        started = time.monotonic()
        self.entry.signal(signal.SIGCONT)
        ready_s = 0.0
        while (passed_s := time.monotonic() - started) < LOAD_S:
            calls += self.send_calls(len(calls))
            if not ready_s and is_ready(self.entry):
                ready_s = passed_s
            time.sleep(0.02)
        ready_s = ready_s or wait_until(lambda: is_ready(self.entry), "readiness") + LOAD_S
        outcomes = {(call.key, call.wait().status, call.error.get("code")) for call in calls}
        refused, served = (503, "recovering"), (200, None)
        expected = {(OLD_KEY, *refused), (OLD_KEY, 401, "invalid_api_key"), (KEPT_KEY, *refused)}
        with self.subTest("configuration"):
            self.assertEqual(outcomes - {(KEPT_KEY, *served)}, expected)
        for call in calls:
            if call.status == 503:
                self.assertEqual((call.run_state, call.headers["retry-after"]), ("not_run", "1"))
        with self.subTest("leaving runners"):
            self.assertEqual([runner.state()["arrivals"] for runner in leaving], before)
        last = ModelCall(self.entry, key=KEPT_KEY).wait()
        self.assertTrue(last.is_complete, last.describe())
        return ready_s

    def test_changes_during_the_pause(self):
        """Guard against an old configuration and requests for leaving runners after a pause."""
        streams = [self.call(prompt=f"s{n}", tokens=900, timeout_ms=30_000) for n in range(6)]
        for stream in streams:
            stream.wait_for_tokens()
        self.pause()
        ready_s = self.check_after_continue()
        print(f"ready {ready_s:.3f} s after the pause")
        for stream in streams:
            self.assertTrue(stream.wait().is_complete, stream.describe())

    def test_log_down_after_the_pause(self):
        """Guard against an old configuration after a pause when only peers have the new one."""
        self.pause()
        self.fleet.log.set_faults(outage=True)
        ready_s = self.check_after_continue()
        print(f"ready {ready_s:.3f} s after the pause, from peers")
