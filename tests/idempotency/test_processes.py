"""Tests with real processes: a non-idempotent call runs at most once."""

import json
import signal
import threading
import time
import unittest
import urllib.error
import urllib.request

from ibispaddle_bench.fleet import SERVICE, WORKSPACE_KEYS, Fleet, FleetSpec
from ibispaddle_core.idempotency import hash_key, partition_of, rank_committers, scoped_key

KEY_TIMES = iter(range(1_000_000))


def new_key():
    return f"{int(time.time() * 1000)}-{next(KEY_TIMES)}"


class Call(threading.Thread):
    """A copy of a call, sent to one instance; `status` is 0 if the connection was lost."""

    def __init__(self, entry, key, timeout_ms=5_000, workspace="large", method="POST"):
        super().__init__(daemon=True)
        headers = {
            "Authorization": f"Bearer {WORKSPACE_KEYS[workspace]}",
            "X-Request-Timeout-Ms": str(timeout_ms),
        }
        if key:
            headers["Idempotency-Key"] = key
        data = b"{}" if method == "POST" else None
        url = f"{entry.url}/services/{SERVICE}/deposits"
        self.request = urllib.request.Request(url, data, headers, method=method)
        self.status, self.body, self.run_state, self.headers = 0, {}, "", {}
        self.start()

    def run(self):
        try:
            with urllib.request.urlopen(self.request, timeout=20) as response:
                self.status, body = response.status, response.read()
        except urllib.error.HTTPError as exc:
            self.status, self.headers, body = exc.code, exc.headers, exc.read()
            self.run_state = exc.headers["X-Run-State"]
        except (OSError, ValueError):
            return
        self.body = json.loads(body)

    def done(self):
        self.join(25)
        if self.is_alive():
            raise AssertionError("the call has no response after 25 s")
        return self


class ProcessTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(FleetSpec(entries=2, runners=0, services=1))
        cls.addClassCleanup(cls.fleet.end)
        cls.fleet.start()
        cls.first, cls.second = cls.fleet.entries
        cls.service = cls.fleet.services[0]

    def setUp(self):
        """Wait until both instances have recovered from the log outage of an earlier test."""
        deadline = time.monotonic() + 10
        for entry in self.fleet.entries:
            while not self.log_is_available(entry):
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.02)

    @staticmethod
    def log_is_available(entry):
        with urllib.request.urlopen(f"{entry.url}/metrics", timeout=5) as response:
            lines = response.read().decode().splitlines()
        values = [line.split()[-1] for line in lines if line.startswith("ibispaddle_log_available")]
        return float(values[0]) == 1

    def tearDown(self):
        self.fleet.log.set_faults(outage=False, lose_answers=False, slow_ms=0)
        self.service.set_faults(delay_ms=0, answer_delay_ms=0, lose_answers=False)
        self.assertLessEqual(self.service.state()["most_runs_of_a_key"], 1)

    def runs(self, key):
        return sum(run["count"] for run in self.service.state()["runs"] if run["key"] == key)


class RetryTest(ProcessTest):
    def test_retry_replays_the_first_response(self):
        """Guard against a second run and a different response to the same call."""
        key = new_key()
        answers = [Call(entry, key).done() for entry in (self.first, self.second, self.second)]
        self.assertEqual([call.status for call in answers], [200, 200, 200])
        self.assertEqual(answers[1].body, answers[0].body)
        self.assertEqual(self.runs(key), 1)

    def test_copies_at_the_same_time(self):
        """Guard against two runs when a caller sends a call to several instances at once."""
        self.service.set_faults(delay_ms=100)
        key = new_key()
        calls = [Call((self.first, self.second)[n % 2], key) for n in range(6)]
        self.assertEqual([call.done().status for call in calls], [200] * 6)
        self.assertEqual(self.runs(key), 1)

    def test_instance_stopped_while_the_call_runs(self):
        """Guard against a retry that runs the call while its first instance is paused."""
        self.service.set_faults(delay_ms=600)
        key = new_key()
        first = Call(self.first, key, 10_000)
        time.sleep(0.4)
        self.first.signal(signal.SIGSTOP)
        try:
            second = Call(self.second, key, 1_000).done()
        finally:
            self.first.signal(signal.SIGCONT)
        self.assertEqual((second.status, second.run_state), (409, "unknown"))
        self.assertEqual(first.done().status, 200)
        self.assertEqual(Call(self.second, key).done().body, first.body)

    def test_instance_stopped_at_any_time(self):
        """Guard against two runs when the first instance is paused around its claim."""
        for delay_ms in (0, 5, 10, 20, 40, 60):
            key = new_key()
            first = Call(self.first, key, 2_000)
            time.sleep(delay_ms / 1000)
            self.first.signal(signal.SIGSTOP)
            try:
                second = Call(self.second, key, 400).done()
            finally:
                self.first.signal(signal.SIGCONT)
            first.done()
            self.assertLessEqual(self.runs(key), 1)
            for call in (first, second):
                self.assertIn(call.status, (200, 409, 504))
            if first.run_state == second.run_state == "not_run":
                self.assertEqual(self.runs(key), 0)

    def test_instance_paused_beyond_the_deadline(self):
        """Guard against a call that is sent although its caller was refused elsewhere."""
        self.fleet.log.set_faults(slow_ms=300)
        key = new_key()
        first = Call(self.first, key, 800)
        time.sleep(0.1)
        self.first.signal(signal.SIGSTOP)
        time.sleep(1.2)
        self.first.signal(signal.SIGCONT)
        self.assertEqual((first.done().status, first.run_state), (504, "not_run"))
        time.sleep(0.5)
        self.assertEqual(self.runs(key), 0)
        # The claim was released, so a retry can run.
        self.assertEqual(Call(self.second, key, 8_000).done().status, 200)

    def test_lost_append_response(self):
        """Guard against a lost claim or two runs when the response to an append is lost."""
        key = new_key()
        self.fleet.log.set_faults(lose_answers=True)
        calls = [Call(self.first, key, 8_000), Call(self.second, key, 8_000)]
        time.sleep(0.6)
        self.fleet.log.set_faults(lose_answers=False)
        self.assertEqual([call.done().status for call in calls], [200, 200])
        self.assertEqual(self.runs(key), 1)

    def test_lost_service_response(self):
        """Guard against a second run of a call whose response was lost."""
        self.service.set_faults(lose_answers=True)
        key = new_key()
        first = Call(self.first, key).done()
        second = Call(self.second, key).done()
        self.assertEqual((first.run_state, second.run_state), ("unknown", "unknown"))
        self.assertEqual(self.runs(key), 1)

    def test_log_outage(self):
        """Guard against runs without a claim, and an outage that stops idempotent calls."""
        key = new_key()
        self.fleet.log.set_faults(outage=True)
        refused = Call(self.first, key, 3_000).done()
        self.assertEqual((refused.status, refused.run_state), (503, "not_run"))
        self.assertIsNotNone(refused.headers["Retry-After"])
        self.assertEqual(self.runs(key), 0)
        self.assertEqual(Call(self.first, "", method="GET").done().status, 200)
        self.fleet.log.set_faults(outage=False)
        deadline = time.monotonic() + 15
        while (call := Call(self.first, key).done()).status == 503:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.1)
        self.assertEqual((call.status, self.runs(key)), (200, 1))

    def test_keys_outside_the_window(self):
        """Guard against a run of a call whose earlier run may have expired from the log."""
        now = int(time.time() * 1000)
        old = Call(self.first, f"{now - 3_700_000}-old").done()
        self.assertEqual((old.status, old.run_state), (409, "unknown"))
        future = Call(self.first, f"{now + 120_000}-future").done()
        self.assertEqual((future.status, future.run_state), (400, "not_run"))
        missing = Call(self.first, "order-17").done()
        self.assertEqual((missing.status, missing.run_state), (400, "not_run"))


class ScopeTest(unittest.TestCase):
    def test_same_key_of_two_workspaces(self):
        """Guard against a workspace that receives the response of another workspace."""
        with Fleet(FleetSpec(entries=1, runners=0, services=1)) as fleet:
            key = new_key()
            for workspace in ("large", "small", "large", "small"):
                call = Call(fleet.entries[0], key, workspace=workspace).done()
                self.assertEqual(call.status, 200)
            self.assertEqual(fleet.services[0].state()["total_runs"], 2)


class KillTest(ProcessTest):
    def test_instance_killed_at_any_time(self):
        """Guard against a retry that runs a call again after its instance was killed."""
        self.service.set_faults(delay_ms=50)
        for delay_ms in (5, 30, 90):
            key = new_key()
            first = Call(self.fleet.entries[0], key, 3_000)
            time.sleep(delay_ms / 1000)
            self.fleet.entries[0].kill()
            second = Call(self.second, key, 700).done()
            first.done()
            self.assertIn(second.status, (200, 409, 504))
            restarted = self.fleet.restart_entry(0)
            third = Call(restarted, key, 700).done()
            self.assertIn(third.status, (200, 409, 504))
            self.assertLessEqual(self.runs(key), 1)
            if 200 in (second.status, third.status):
                self.assertEqual(self.runs(key), 1)


class CommitterTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(FleetSpec(entries=3, runners=0, services=1))
        self.addCleanup(self.fleet.end)
        self.fleet.start()

    def key_with_committer(self, name):
        names = [entry.name for entry in self.fleet.entries]
        while True:
            key = new_key()
            partition = partition_of(hash_key(scoped_key("large", SERVICE, key)))
            if rank_committers(partition, names, names[0])[0] == name:
                return key

    def signal_committer(self, signal_number):
        """Send a signal to the committer between the append of the claim and its response."""
        first, second, committer = self.fleet.entries
        key = self.key_with_committer(committer.name)
        self.assertEqual(Call(first, self.key_with_committer(committer.name)).done().status, 200)
        before = self.fleet.log.state()["appends"]
        self.fleet.log.set_faults(slow_ms=400)
        call = Call(first, key, 8_000)
        deadline = time.monotonic() + 5
        while self.fleet.log.state()["appends"] == before:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.005)
        committer.signal(signal_number)
        self.fleet.log.set_faults(slow_ms=0)
        self.assertEqual(call.done().status, 200)
        retry = Call(second, key).done()
        committer.signal(signal.SIGCONT)
        last = Call(second, key).done()
        self.assertEqual((retry.body, last.body), (call.body, call.body))
        runs = self.fleet.services[0].state()["runs"]
        self.assertEqual([run["count"] for run in runs if run["key"] == key], [1])

    def test_killed_between_claim_and_response(self):
        """Guard against a call that is lost or runs twice when its committer is killed."""
        self.signal_committer(signal.SIGKILL)

    def test_stopped_between_claim_and_response(self):
        """Guard against a second run when a replaced committer resumes and responds late."""
        self.signal_committer(signal.SIGSTOP)


class LongBodyTest(unittest.TestCase):
    def test_long_response_is_fetched_from_the_instance_that_stores_it(self):
        """Guard against a retry that lacks a long response or waits for a lost one."""
        options = ("--body-bytes", "20000")
        with Fleet(FleetSpec(entries=2, runners=0, services=1, service_options=options)) as fleet:
            first, second = fleet.entries
            key = new_key()
            answers = [Call(entry, key).done() for entry in (first, second, second)]
            self.assertEqual([call.status for call in answers], [200] * 3)
            self.assertEqual([call.body for call in answers], [answers[0].body] * 3)
            first.kill()
            last = Call(second, key).done()
            self.assertEqual((last.status, last.run_state), (409, "unknown"))
            self.assertEqual(fleet.services[0].state()["total_runs"], 1)


if __name__ == "__main__":
    unittest.main()
