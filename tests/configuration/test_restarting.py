"""Tests of the procedure that restarts the configuration from files."""

import unittest

from ibispaddle_core.configuration import (
    INQUIRY_WAIT_MS,
    Applied,
    ConfigReader,
    ConfigRestart,
    ConfigRestartProcedure,
    ConfigState,
    ConfigurationExists,
    Conflict,
    Unavailable,
    Undetermined,
)

from .oracle import FakeLog

DEADLINE_MS = 12_000
FIRST_OFFSET = 3


class ConfigRestartProcedureTest(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog()
        for _ in range(FIRST_OFFSET):
            self.log.append({})
        self.log.cut(FIRST_OFFSET)
        self.reader = ConfigReader()
        self.now_ms = 0
        self.procedure = self.create_procedure("r1")

    def create_procedure(self, restart_id):
        restart = ConfigRestart(restart_id, 0, {"base": {}}, "ann")
        return ConfigRestartProcedure(restart, "own", DEADLINE_MS)

    def read(self):
        records = self.log.read(self.reader.position, 10)
        self.reader.read_page(self.log.first_offset, records)
        self.procedure.read(records, self.now_ms)

    def advance(self, at_end=True):
        args = (self.reader.state, self.reader.position, at_end, self.now_ms)
        return self.procedure.next_append(*args)

    def inquire(self):
        self.read()
        self.log.append(self.advance())
        self.read()

    def finish_inquiry(self):
        self.inquire()
        self.now_ms += INQUIRY_WAIT_MS
        return self.advance()

    def test_restart_is_appended_after_the_inquiry(self):
        """Guard against a restart before an instance with a state could respond."""
        self.inquire()
        self.now_ms += INQUIRY_WAIT_MS - 1
        self.assertIsNone(self.advance())
        self.now_ms += 1
        self.log.append(self.advance())
        self.read()
        self.assertIsNone(self.advance())
        self.assertEqual(self.procedure.outcome, Applied(FIRST_OFFSET + 1))

    def test_nothing_is_appended_before_the_end_of_the_log(self):
        """Guard against a restart although the log may contain a snapshot."""
        self.assertIsNone(self.advance(at_end=False))

    def test_snapshot_after_the_inquiry_is_a_conflict(self):
        """Guard against a restart although an instance with a state responded."""
        self.inquire()
        self.log.append(ConfigState(FIRST_OFFSET, 1, {"base": {}}).to_record())
        self.read()
        self.advance()
        self.assertIsInstance(self.procedure.outcome, Conflict)

    def test_peer_state_ends_the_procedure(self):
        """Guard against a restart while another instance has a state."""
        self.procedure.add_peer_state("b", None)
        self.assertIsNone(self.procedure.outcome)
        self.procedure.add_peer_state("b", ConfigState(2, 1))
        self.assertEqual(self.procedure.outcome, ConfigurationExists("b", 1))
        self.assertIsNone(self.advance())

    def test_local_state_ends_the_procedure(self):
        """Guard against a restart at an instance that has a configuration."""
        self.reader.adopt(ConfigState(2, 1))
        self.assertIsNone(self.advance())
        self.assertEqual(self.procedure.outcome, ConfigurationExists("own", 1))

    def test_restart_at_another_offset_is_retried(self):
        """Guard against a restart that never finishes because of another operator's inquiry."""
        data = self.finish_inquiry()
        self.log.append({"inquiry": {"restart_id": "r2"}})
        self.log.append(data)
        self.read()
        retry = self.advance()
        self.assertEqual(retry["restart"]["expected_offset"], FIRST_OFFSET + 3)
        self.log.append(retry)
        self.read()
        self.advance()
        self.assertEqual(self.procedure.outcome, Applied(FIRST_OFFSET + 3))

    def test_append_with_lost_response_is_not_repeated(self):
        """Guard against a second append while the first may still arrive."""
        self.finish_inquiry()
        self.procedure.append_failed(True, "closed")
        self.now_ms += 1_000
        self.assertIsNone(self.advance())
        self.now_ms = DEADLINE_MS
        self.advance()
        self.assertEqual(self.procedure.outcome, Undetermined("r1"))

    def test_rejected_append_is_unavailable(self):
        """Guard against an operator who waits for an unavailable log."""
        self.finish_inquiry()
        self.procedure.append_failed(False, "outage")
        self.assertEqual(self.procedure.outcome, Unavailable("outage"))


if __name__ == "__main__":
    unittest.main()
