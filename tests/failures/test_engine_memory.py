"""Engine memory is always freed, however a prompt that spans engines ends."""

import signal
import time

from .engine_memory import HANDLE_EXPIRY_AFTER_DEADLINE_S, KV_PROBE_INTERVAL_S, MemoryTest


class RunningInstanceTest(MemoryTest):
    def test_answer(self):
        """Guard against memory that stays reserved after the response."""
        for stream in (True, False):
            call = self.send_spanning_prompt(tokens=60, stream=stream)
            self.wait_for_reservations(2)
            self.assertTrue(call.wait().is_complete, call.describe())
            self.assert_memory_freed()

    def test_timeout_of_the_answer(self):
        """Guard against memory that stays reserved after the deadline."""
        call = self.send_spanning_prompt(timeout_ms=1_000).wait_for_tokens()
        self.assertEqual(len(self.reserving_engines()), 2)
        self.assertEqual(call.wait().error.get("code"), "deadline")
        self.assert_memory_freed()

    def test_timeout_of_the_reservation(self):
        """Guard against a reservation that stays when the other engine's is always refused."""
        self.fleet.runners[1].set_faults(reject_reservations=True)
        call = self.send_spanning_prompt(timeout_ms=1_000)
        self.wait_for_reservations(1)
        self.assertEqual(call.wait().run_state, "not_run")
        self.assert_memory_freed()

    def test_cancel_of_the_answer(self):
        """Guard against memory that stays reserved after the caller disconnected."""
        call = self.send_spanning_prompt().wait_for_tokens()
        self.assertEqual(len(self.reserving_engines()), 2)
        call.disconnect()
        self.assert_memory_freed()

    def test_cancel_of_the_reservation(self):
        """Guard against a reservation that stays when the caller disconnects early."""
        self.fleet.runners[1].set_faults(reject_reservations=True)
        call = self.send_spanning_prompt()
        self.wait_for_reservations(1)
        call.disconnect()
        self.assert_memory_freed()

    def test_lost_answers_to_a_reservation(self):
        """Guard against memory that stays reserved because a reservation's response was lost."""
        for runner in self.fleet.runners:
            runner.set_faults(lose_kv_answers=1)
        call = self.send_spanning_prompt(tokens=60)
        self.wait_for_reservations(2)
        self.assertTrue(call.wait().is_complete, call.describe())
        self.assert_memory_freed()

    def test_all_answers_lost(self):
        """Guard against memory that stays reserved when all responses of the engines are lost."""
        for runner in self.fleet.runners:
            runner.set_faults(lose_kv_answers=True)
        call = self.send_spanning_prompt(timeout_ms=1_000)
        self.wait_for_reservations(1)
        self.assertEqual(call.wait().run_state, "not_run")
        for runner in self.fleet.runners:
            runner.set_faults(lose_kv_answers=None)
        self.assert_memory_freed()

    def test_late_answers_to_a_reservation(self):
        """Guard against a reservation that stays because its response comes after the timeout."""
        for runner in self.fleet.runners:
            runner.set_faults(delay_kv_ms=1_300)
        call = self.send_spanning_prompt(timeout_ms=1_000)
        self.wait_for_reservations(1)
        self.assertEqual(call.wait().run_state, "not_run")
        for runner in self.fleet.runners:
            runner.set_faults(delay_kv_ms=None)
        self.assert_memory_freed()

    def test_lost_answers_to_a_deletion(self):
        """Guard against a deletion that isn't retried when its response is lost."""
        call = self.send_spanning_prompt(tokens=60).wait_for_tokens()
        for runner in self.reserving_engines():
            runner.set_faults(freeze=True)
        call.disconnect()
        time.sleep(1.5)  # The first deletions have timed out.
        for runner in self.fleet.runners:
            runner.set_faults(freeze=None)
        self.assert_memory_freed()

    def test_stopped_engine(self):
        """Guard against memory that stays reserved if its engine is stopped at the prompt's end."""
        call = self.send_spanning_prompt(timeout_ms=1_500).wait_for_tokens()
        stopped = self.wait_for_reservations(2)[1]
        stopped.signal(signal.SIGSTOP)
        self.addCleanup(stopped.signal, signal.SIGCONT)
        call.wait()
        time.sleep(1.0)
        stopped.signal(signal.SIGCONT)
        self.assert_memory_freed()

    def test_reservation_that_runs_after_its_deletion(self):
        """Guard against a reservation that a stopped engine handles after the request has ended."""
        for runner in self.fleet.runners:
            runner.signal(signal.SIGSTOP)
            self.addCleanup(runner.signal, signal.SIGCONT)
        call = self.send_spanning_prompt(timeout_ms=700).wait()
        self.assertEqual(call.run_state, "not_run", call.describe())
        for runner in self.fleet.runners:
            runner.signal(signal.SIGCONT)
        # If the engine doesn't handle the request's deletion last, the memory is only freed when
        # the handle has expired.
        self.assert_memory_freed(HANDLE_EXPIRY_AFTER_DEADLINE_S + KV_PROBE_INTERVAL_S + 1.0)


class KilledEngineTest(MemoryTest):
    FLEET_PER_TEST = True

    def check_engine_crash(self, number: int) -> None:
        call = self.send_spanning_prompt(timeout_ms=2_000).wait_for_tokens()
        killed = self.wait_for_reservations(2)[number]
        killed.kill()
        call.wait()
        self.assert_answer_valid(call)
        self.assert_memory_freed()
        self.fleet.restart_runner(self.fleet.runners.index(killed))
        self.assert_memory_freed()

    def test_decoding_engine_killed(self):
        """Guard against memory that the other engine keeps when the decoding one is killed."""
        self.check_engine_crash(0)

    def test_other_engine_killed(self):
        """Guard against memory that the decoding engine keeps when the other one is killed."""
        self.check_engine_crash(1)

    def test_engine_killed_during_the_reservation(self):
        """Guard against a reservation that waits for a killed engine."""
        self.fleet.runners[1].set_faults(reject_reservations=True)
        call = self.send_spanning_prompt(timeout_ms=3_000)
        self.wait_for_reservations(1)
        self.fleet.runners[1].kill()
        call.wait()
        self.assert_memory_freed()
