"""Tests of claims while the platform's log turns away the committer and serves other instances."""

import unittest

from ibispaddle_core.idempotency import Send

from .fleet import EPOCH_MS, Fleet

STEP_MS = 100
DURATION_MS = 5_000


class TurnedAwayFleet(Fleet):
    """A fleet whose instances prefer the same committer, to which the log is not available."""

    def __init__(self):
        super().__init__((0, 0, 0))
        self.choices = dict.fromkeys(self.choices, ["i0", "i1", "i2"])
        self.turned_away = set()

    def receive(self, instance, sender, message):
        self.available = instance.name not in self.turned_away
        super().receive(instance, sender, message)

    def read(self, number, limit=1_000):
        self.available = self.instances[number].name not in self.turned_away
        if self.available:
            super().read(number, limit)

    def start_append(self, number):
        started = super().start_append(number)
        if started and self.instances[number].name in self.turned_away:
            self.refuse(len(self.appends) - 1, outage=True)
            return False
        return started

    def run(self):
        """Let the time pass for which a call waits."""
        for _ in range(DURATION_MS // STEP_MS):
            self.advance(STEP_MS)
            for instance in self.instances:
                self.pump(instance)
            self.deliver_messages()
            for number in range(len(self.instances)):
                self.start_append(number)
            while self.appends:
                self.deliver(0)
            for number in range(len(self.instances)):
                self.read(number)
            self.deliver_messages()
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


if __name__ == "__main__":
    unittest.main()
