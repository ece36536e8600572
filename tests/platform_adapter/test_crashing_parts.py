"""Tests of prompts with a part that crashes each runner that begins to respond to them.

Requests with the part come at any instance, no two alike; sound ones have its caller and its other parts.
"""

import itertools
import time
import unittest

from tests.support.http import HttpResponse
from tests.support.waiting import wait_until

from .processes import Instance, Platform

DEADLY = "dead0001"
FIRST = "f0000001"  # The first part of sound and of deadly prompts.
RUNNERS = 14
INSTANCES = 3
# Crashes from which on the part is known, and the time within which it must be known everywhere.
KNOWN_CRASHES = 5
KNOWN_S = 3.0
MAX_LATER_REQUESTS = 3
LATER_REQUESTS = 12
TOPIC = "keyed.quarantine"
SOUND_REQUESTS = 12


class CrashingPartTest(unittest.TestCase):
    def setUp(self) -> None:
        # Otherwise the instances refuse all keys during an outage of the store.
        self.platform = Platform(runners=RUNNERS, instances=INSTANCES, fail_closed=False)
        self.addCleanup(self.platform.__exit__)
        wait_until(lambda: len(self.platform.followers()) == INSTANCES - 1, "relays", 20)
        for runner in self.platform.runners:
            runner.set_faults(deadly_part=DEADLY)
        self.numbers = itertools.count(1)

    @property
    def crashes(self) -> int:
        return sum(not runner.running for runner in self.platform.runners)

    def send(self, instance: Instance, *parts: str) -> HttpResponse:
        """Send a request that no other one equals, with the given parts and one of its own."""
        number = next(self.numbers)
        prefix = ",".join(f"{part}:100" for part in (*parts, f"{number:08x}"))
        return instance.call(
            "POST",
            "/stream/x",
            b"prompt %d" % number,
            Token_Count="1000,200",
            Prefix_Hash=prefix,
            Attempt_Id=f"attempt-{number}",
        )

    def send_in_turn(self, count: int, *parts: str) -> list[int]:
        """Send requests to all instances in turn and return the statuses."""
        turn = itertools.cycle(self.platform.instances)
        return [self.send(next(turn), *parts).status for _ in range(count)]

    def crash_until_known(self) -> None:
        """Send deadly requests until the part must be known, or until one is refused."""
        turn = itertools.cycle(self.platform.instances)
        while self.crashes < KNOWN_CRASHES:
            if self.send(next(turn), FIRST, DEADLY).status == 503:
                break
            time.sleep(0.1)
        time.sleep(KNOWN_S)

    def check_known(self) -> None:
        """Send more deadly and sound requests, and check how many reach runners."""
        crashes = self.crashes
        statuses = self.send_in_turn(LATER_REQUESTS, FIRST, DEADLY)
        self.assertLessEqual(self.crashes - crashes, MAX_LATER_REQUESTS, statuses)
        self.assertEqual(set(statuses[-INSTANCES:]), {503})
        self.assertEqual(set(self.send_in_turn(SOUND_REQUESTS, FIRST)), {200})

    def test_part_is_refused_everywhere_after_five_crashes(self) -> None:
        """Guards against requests of one kind that crash one runner after the other."""
        self.assertEqual(set(self.send_in_turn(SOUND_REQUESTS, FIRST)), {200})
        self.crash_until_known()
        self.check_known()

    def test_part_is_known_while_the_store_is_down(self) -> None:
        """Guards against crashes that instances tell each other only through the store."""
        self.platform.store.set_faults(outage=True)
        self.crash_until_known()
        self.check_known()
        self.platform.store.set_faults(outage=False)

    def test_part_is_known_after_a_restart_of_all_instances(self) -> None:
        """Guards against instances that forget the part when all of them are killed at once."""
        self.crash_until_known()
        for instance in self.platform.instances:
            instance.close()
        for instance in self.platform.instances:
            instance.start()
        for instance in self.platform.instances:
            wait_until(instance.is_ready, "ready")
        self.check_known()

    def test_operator_lifts_the_quarantine(self) -> None:
        """Guards against an operator who cannot end a quarantine before it expires."""
        self.crash_until_known()
        wait_until(self.is_stored, "stored entry")
        self.platform.put(TOPIC, DEADLY, None)
        for instance in self.platform.instances:

            def is_released(instance: Instance = instance) -> bool:
                return bool(instance.events("part_released"))

            wait_until(is_released, "release")
        crashes = self.crashes
        statuses = self.send_in_turn(1, FIRST, DEADLY)
        self.assertGreater(self.crashes, crashes, statuses)

    def is_stored(self) -> bool:
        return DEADLY in self.platform.store.state()["keys"].get(TOPIC, [])


if __name__ == "__main__":
    unittest.main()
