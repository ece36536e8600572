"""Engine memory reserved by a lost instance is freed by others once its handles have expired."""

import signal
import time
from dataclasses import replace

from .engine_memory import HANDLE_EXPIRY_AFTER_DEADLINE_S, KV_PROBE_INTERVAL_S, MemoryTest


class LostInstanceTest(MemoryTest):
    """An instance stops without freeing memory; others delete its handles after their expiry."""

    # Two instances probe each engine of their data centre.
    SPEC = replace(MemoryTest.SPEC, entries=2, data_centres=("dc.1",))
    FLEET_PER_TEST = True
    TIMEOUT_MS = 1_500
    # Counted from the request. The last second allows for the probe's calls and the scheduling.
    FREE_LIMIT_S = TIMEOUT_MS / 1000 + HANDLE_EXPIRY_AFTER_DEADLINE_S + KV_PROBE_INTERVAL_S + 1.0

    def test_killed_instance(self):
        """Guard against memory that stays reserved because its instance was killed."""
        started = time.monotonic()
        self.send_spanning_prompt(
            timeout_ms=self.TIMEOUT_MS, entry=self.fleet.entries[1]
        ).wait_for_tokens()
        self.assertEqual(len(self.reserving_engines()), 2)
        self.fleet.entries[1].kill()
        self.assert_memory_freed(self.FREE_LIMIT_S - (time.monotonic() - started))

    def test_stopped_instance(self):
        """Guard against memory that stays reserved as long as an instance is stopped."""
        started = time.monotonic()
        entry = self.fleet.entries[1]
        self.send_spanning_prompt(timeout_ms=self.TIMEOUT_MS, entry=entry).wait_for_tokens()
        self.assertEqual(len(self.reserving_engines()), 2)
        entry.signal(signal.SIGSTOP)
        self.addCleanup(entry.signal, signal.SIGCONT)
        self.assert_memory_freed(self.FREE_LIMIT_S - (time.monotonic() - started))
        entry.signal(signal.SIGCONT)
        time.sleep(0.5)
        self.assertEqual(self.list_used_memory(), {})

    def test_all_instances_killed(self):
        """Guard against memory that stays reserved when all instances are replaced at once."""
        started = time.monotonic()
        self.send_spanning_prompt(timeout_ms=self.TIMEOUT_MS).wait_for_tokens()
        for entry in self.fleet.entries:
            entry.kill()
        restarted = self.fleet.restart_entry(0)
        self.assertTrue(restarted.running)
        self.assert_memory_freed(self.FREE_LIMIT_S - (time.monotonic() - started))


class OnlyInstanceOfDataCentreTest(MemoryTest):
    """The only instance of a data centre is killed; another data centre takes over its engines."""

    SPEC = replace(MemoryTest.SPEC, entries=2)
    FLEET_PER_TEST = True
    # An instance counts as failed 10 s after its last message; its engines are taken over within 1
    # s.
    FREE_LIMIT_S = 10.0 + 1.0 + KV_PROBE_INTERVAL_S + 1.0

    def test_killed_instance(self):
        """Guard against memory that stays reserved because the data centre has no instance left."""
        self.send_spanning_prompt(timeout_ms=1_500, entry=self.fleet.entries[1]).wait_for_tokens()
        self.assertEqual(len(self.reserving_engines()), 2)
        self.fleet.entries[1].kill()
        self.assert_memory_freed(self.FREE_LIMIT_S)
