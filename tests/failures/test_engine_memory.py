"""No engine loses memory for good, however a prompt that spans engines ends."""

import signal
import time

from .engine_memory import HANDLE_EXPIRY_AFTER_DEADLINE_S, KV_PROBE_INTERVAL_S, MemoryTest


class RunningInstanceTest(MemoryTest):
    def test_answer(self):
        """Guard against memory that is held after the answer."""
        for stream in (True, False):
            call = self.send_spanning_prompt(tokens=60, stream=stream)
            self.wait_for_reservations(2)
            self.assertTrue(call.wait().is_complete, call.describe())
            self.assert_memory_freed()

    def test_timeout_of_the_answer(self):
        """Guard against memory that is held after the deadline."""
        call = self.send_spanning_prompt(timeout_ms=1_000).wait_for_tokens()
        self.assertEqual(len(self.reserving_engines()), 2)
        self.assertEqual(call.wait().error.get("code"), "deadline")
        self.assert_memory_freed()

    def test_timeout_of_the_reservation(self):
        """Guard against a first reservation that outlives a request without a second one."""
        self.fleet.runners[1].set_faults(reject_reservations=True)
        call = self.send_spanning_prompt(timeout_ms=1_000)
        self.wait_for_reservations(1)
        self.assertEqual(call.wait().run_state, "not_run")
        self.assert_memory_freed()

    def test_cancel_of_the_answer(self):
        """Guard against memory for a caller that is gone."""
        call = self.send_spanning_prompt().wait_for_tokens()
        self.assertEqual(len(self.reserving_engines()), 2)
        call.disconnect()
        self.assert_memory_freed()

    def test_cancel_of_the_reservation(self):
        """Guard against a reservation for a caller that left before the prompt ran."""
        self.fleet.runners[1].set_faults(reject_reservations=True)
        call = self.send_spanning_prompt()
        self.wait_for_reservations(1)
        call.disconnect()
        self.assert_memory_freed()

    def test_lost_answers_to_a_reservation(self):
        """Guard against memory that is reserved although the instance was not told."""
        for runner in self.fleet.runners:
            runner.set_faults(lose_kv_answers=1)
        call = self.send_spanning_prompt(tokens=60)
        self.wait_for_reservations(2)
        self.assertTrue(call.wait().is_complete, call.describe())
        self.assert_memory_freed()

    def test_all_answers_lost(self):
        """Guard against memory of a request that never learnt of its reservation."""
        for runner in self.fleet.runners:
            runner.set_faults(lose_kv_answers=True)
        call = self.send_spanning_prompt(timeout_ms=1_000)
        self.wait_for_reservations(1)
        self.assertEqual(call.wait().run_state, "not_run")
        for runner in self.fleet.runners:
            runner.set_faults(lose_kv_answers=None)
        self.assert_memory_freed()

    def test_late_answers_to_a_reservation(self):
        """Guard against a reservation whose answer comes after its time limit."""
        for runner in self.fleet.runners:
            runner.set_faults(delay_kv_ms=1_300)
        call = self.send_spanning_prompt(timeout_ms=1_000)
        self.wait_for_reservations(1)
        self.assertEqual(call.wait().run_state, "not_run")
        for runner in self.fleet.runners:
            runner.set_faults(delay_kv_ms=None)
        self.assert_memory_freed()

    def test_lost_answers_to_a_deletion(self):
        """Guard against a deletion that is given up when its answer is lost."""
        call = self.send_spanning_prompt(tokens=60).wait_for_tokens()
        for runner in self.reserving_engines():
            runner.set_faults(freeze=True)
        call.disconnect()
        time.sleep(1.5)  # The first deletions have run into their time limit.
        for runner in self.fleet.runners:
            runner.set_faults(freeze=None)
        self.assert_memory_freed()

    def test_stopped_engine(self):
        """Guard against memory of an engine that was stopped while its prompt ended."""
        call = self.send_spanning_prompt(timeout_ms=1_500).wait_for_tokens()
        stopped = self.wait_for_reservations(2)[1]
        stopped.signal(signal.SIGSTOP)
        self.addCleanup(stopped.signal, signal.SIGCONT)
        call.wait()
        time.sleep(1.0)
        stopped.signal(signal.SIGCONT)
        self.assert_memory_freed()

    def test_reservation_that_runs_after_its_deletion(self):
        """Guard against a stopped engine that handles a reservation when the request has ended."""
        for runner in self.fleet.runners:
            runner.signal(signal.SIGSTOP)
            self.addCleanup(runner.signal, signal.SIGCONT)
        call = self.send_spanning_prompt(timeout_ms=700).wait()
        self.assertEqual(call.run_state, "not_run", call.describe())
        for runner in self.fleet.runners:
            runner.signal(signal.SIGCONT)
        # Without an own deletion that comes last the memory is freed when the handle has expired.
        self.assert_memory_freed(HANDLE_EXPIRY_AFTER_DEADLINE_S + KV_PROBE_INTERVAL_S + 1.0)


class KilledEngineTest(MemoryTest):
    FLEET_PER_TEST = True

    def check_engine_crash(self, number: int) -> None:
        call = self.send_spanning_prompt(timeout_ms=2_000).wait_for_tokens()
        dead = self.wait_for_reservations(2)[number]
        dead.kill()
        call.wait()
        self.assert_answer_valid(call)
        self.assert_memory_freed()
        self.fleet.restart_runner(self.fleet.runners.index(dead))
        self.assert_memory_freed()

    def test_decoding_engine_killed(self):
        """Guard against memory of the other engine when the one that answers dies."""
        self.check_engine_crash(0)

    def test_other_engine_killed(self):
        """Guard against memory of the answering engine when one with a segment dies."""
        self.check_engine_crash(1)

    def test_engine_killed_during_the_reservation(self):
        """Guard against a reservation that waits for an engine that is gone."""
        self.fleet.runners[1].set_faults(reject_reservations=True)
        call = self.send_spanning_prompt(timeout_ms=3_000)
        self.wait_for_reservations(1)
        self.fleet.runners[1].kill()
        call.wait()
        self.assert_memory_freed()
