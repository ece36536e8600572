"""Tests of claims while the platform's log turns away the committer and serves other instances."""

import unittest

from ibispaddle_core.idempotency import Replay, Send
from ibispaddle_core.runstate import RunState

from .fleet import EPOCH_MS, Fleet

STEP_MS = 100
DURATION_MS = 5_000


class TurnedAwayFleet(Fleet):
    """A fleet whose instances prefer the same committer, to which the log is not available."""

    def __init__(self):
        super().__init__((0, 0, 0))
        self.choices = dict.fromkeys(self.choices, ["i0", "i1", "i2"])

    def start_append(self, number):
        started = super().start_append(number)
        if started and self.instances[number].name in self.turned_away:
            self.refuse(len(self.appends) - 1, outage=True)
            return False
        return started

    def run(self):
        """Let the time pass for which a call waits."""
        for _ in range(DURATION_MS // STEP_MS):
            self.exchange_all(STEP_MS)
            for number in range(len(self.instances)):
                self.tick(number)


class TurnedAwayCommitterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = TurnedAwayFleet()
        for number in range(3):
            self.fleet.read(number)

    def sent(self, number: int) -> bool:
        call_id = self.fleet.start_call(number, f"{EPOCH_MS}-k")
        self.fleet.run()
        instance = self.fleet.instances[number]
        self.assertIsNone(self.fleet.answers.get(call_id))
        return isinstance(instance.unsent.get(call_id), Send)

    def test_log_serves_all(self) -> None:
        self.assertTrue(self.sent(1))

    def test_first_committer_is_turned_away(self) -> None:
        """Guards against refused calls of all instances because the log turns one of them away."""
        self.fleet.turned_away = {"i0"}
        self.assertTrue(self.sent(1))

    def test_all_other_committers_are_turned_away(self) -> None:
        """Guards against a refused call of an instance that could append the claim itself."""
        self.fleet.turned_away = {"i0", "i1"}
        self.assertTrue(self.sent(2))

    def test_log_serves_nobody(self) -> None:
        """Guards against a call that asks one committer after the other until its deadline."""
        self.fleet.turned_away = {"i0", "i1", "i2"}
        call_id = self.fleet.start_call(1, f"{EPOCH_MS}-k")
        self.fleet.deliver_messages()
        self.assertIs(self.fleet.answers[call_id].run_state, RunState.NOT_RUN)
        client = self.fleet.instances[1].manager.committer_client
        self.assertEqual(len(client), 0, "a release of a claim that nobody has")

    def test_outcome_while_the_first_committer_is_turned_away(self) -> None:
        """Guards against a retry without the outcome, which waits at a committer that cannot append it."""
        self.fleet.turned_away = {"i0"}
        self.assertTrue(self.sent(1))
        self.fleet.check_send(1)
        self.fleet.write(1)
        self.fleet.finish(1)
        self.fleet.run()
        retry = self.fleet.start_call(2, f"{EPOCH_MS}-k")
        self.fleet.run()
        self.assertIsInstance(self.fleet.answers.get(retry), Replay)


if __name__ == "__main__":
    unittest.main()
