"""Tests of the state machine that begins the configuration again."""

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
FIRST = 3


class RestartingTest(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog()
        for _ in range(FIRST):
            self.log.append({})
        self.log.cut(FIRST)
        self.reader = ConfigReader()
        self.now_ms = 0
        self.machine = self.restarting("r1")

    def restarting(self, restart_id):
        restart = ConfigRestart(restart_id, 0, {"base": {}}, "ann")
        return ConfigRestartProcedure(restart, "own", DEADLINE_MS)

    def read(self):
        records = self.log.read(self.reader.position, 10)
        self.reader.read_page(self.log.first_offset, records)
        self.machine.read(records, self.now_ms)

    def advance(self, at_end=True):
        args = (self.reader.state, self.reader.position, at_end, self.now_ms)
        return self.machine.next_append(*args)

    def inquire(self):
        self.read()
        self.log.append(self.advance())
        self.read()

    def decide(self):
        self.inquire()
        self.now_ms += INQUIRY_WAIT_MS
        return self.advance()

    def test_begins_after_the_inquiry(self):
        """Guard against a beginning before an instance with a state could answer."""
        self.inquire()
        self.now_ms += INQUIRY_WAIT_MS - 1
        self.assertIsNone(self.advance())
        self.now_ms += 1
        self.log.append(self.advance())
        self.read()
        self.assertIsNone(self.advance())
        self.assertEqual(self.machine.outcome, Applied(FIRST + 1))

    def test_nothing_before_the_end_of_the_log(self):
        """Guard against a beginning although the log may hold a snapshot."""
        self.assertIsNone(self.advance(at_end=False))

    def test_snapshot_after_the_inquiry(self):
        """Guard against a beginning although an instance with a state answered."""
        self.inquire()
        self.log.append(ConfigState(FIRST, 1, {"base": {}}).to_record())
        self.read()
        self.advance()
        self.assertIsInstance(self.machine.outcome, Conflict)

    def test_state_of_a_peer(self):
        """Guard against a beginning while another instance has a state."""
        self.machine.add_peer_state("b", None)
        self.assertIsNone(self.machine.outcome)
        self.machine.add_peer_state("b", ConfigState(2, 1))
        self.assertEqual(self.machine.outcome, ConfigurationExists("b", 1))
        self.assertIsNone(self.advance())

    def test_own_state(self):
        """Guard against a beginning at an instance that has a configuration."""
        self.reader.adopt(ConfigState(2, 1))
        self.assertIsNone(self.advance())
        self.assertEqual(self.machine.outcome, ConfigurationExists("own", 1))

    def test_record_in_between_makes_it_void_and_it_is_tried_again(self):
        """Guard against an operator without a result because of another's inquiry."""
        data = self.decide()
        self.log.append({"inquiry": {"restart_id": "r2"}})
        self.log.append(data)
        self.read()
        again = self.advance()
        self.assertEqual(again["restart"]["expected_offset"], FIRST + 3)
        self.log.append(again)
        self.read()
        self.advance()
        self.assertEqual(self.machine.outcome, Applied(FIRST + 3))

    def test_lost_answer_is_not_sent_again(self):
        """Guard against a second append while the first may still arrive."""
        self.decide()
        self.machine.append_failed(True, "closed")
        self.now_ms += 1_000
        self.assertIsNone(self.advance())
        self.now_ms = DEADLINE_MS
        self.advance()
        self.assertEqual(self.machine.outcome, Undetermined("r1"))

    def test_outage(self):
        """Guard against an operator who waits for a log that is down."""
        self.decide()
        self.machine.append_failed(False, "outage")
        self.assertEqual(self.machine.outcome, Unavailable("outage"))


if __name__ == "__main__":
    unittest.main()
