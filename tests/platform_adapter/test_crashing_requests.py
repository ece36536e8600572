"""Tests of one request that crashes each runner that begins to run it, sent again and again.

It comes with the same path, caller and body, at any instance; its other headers may differ.
"""

import itertools
import time
import unittest
from collections.abc import Callable

from tests.support.waiting import wait_until

from .processes import Platform
from .supervised_runner import SupervisedRunner

BODY = b"a prompt that crashes each runner"
RUNNERS = 6
INSTANCES = 3
# Crashes from which on the request is known, and the time within which it must be known everywhere.
KNOWN_CRASHES = 3
KNOWN_S = 3.0
MAX_LATER_ATTEMPTS = 3
LATER_REQUESTS = 9
MAX_REQUESTS = 12


class CrashingRequestTest(unittest.TestCase):
    def start(self, keeps_socket: bool, **faults: str) -> None:
        self.platform = Platform(runners=0, instances=INSTANCES)
        self.addCleanup(self.platform.__exit__)
        faults = faults or {"deadly_body": BODY.decode()}
        self.runners = []
        for number in range(RUNNERS):
            runner = SupervisedRunner(self.platform, f"llm-{number}", keeps_socket, **faults)
            self.addCleanup(runner.close)
            self.runners.append(runner)
        wait_until(lambda: len(self.platform.followers()) == INSTANCES - 1, "relays", 20)

        def is_listed() -> bool:
            lines = (instance.events("upstream_added") for instance in self.platform.instances)
            names = [{line["upstream"] for line in found} for found in lines]
            return all(len(found) > RUNNERS for found in names)

        wait_until(is_listed, "all upstreams in all lists")
        self.turn = itertools.cycle(self.platform.instances)
        self.numbers = itertools.count(1)

    @property
    def crashes(self) -> int:
        return sum(runner.crashes for runner in self.runners)

    def send(self, body: bytes = BODY, **headers: str) -> int:
        attempt_id = f"attempt-{next(self.numbers)}"
        headers = {"Token_Count": "1000,200", "Attempt_Id": attempt_id, **headers}
        return next(self.turn).call("POST", "/stream/x", body, **headers).status

    def check_known(self, send: Callable[[], int]) -> None:
        """Send the request until it must be known, and check how often runners get it later."""
        statuses = []
        while self.crashes < KNOWN_CRASHES:
            statuses.append(send())
            self.assertLess(len(statuses), MAX_REQUESTS, statuses)
            time.sleep(0.05)
        time.sleep(KNOWN_S)
        crashes = self.crashes
        statuses = []
        for _ in range(LATER_REQUESTS):
            statuses.append(send())
            time.sleep(0.3)
        self.assertLessEqual(self.crashes - crashes, MAX_LATER_ATTEMPTS, statuses)
        self.assertEqual(set(statuses[-INSTANCES:]), {503})
        time.sleep(1.0)
        self.assertEqual({self.send(b"another prompt") for _ in range(6)}, {200})

    def test_process_restarted_at_another_address(self) -> None:
        """Guards against a request that crashes runners again and again, although each comes back."""
        self.start(keeps_socket=False)
        self.check_known(self.send)

    def test_process_restarted_behind_the_same_socket(self) -> None:
        """Guards against crashes that are not counted because no connection is ever refused."""
        self.start(keeps_socket=True)
        self.check_known(self.send)

    def test_other_headers_differ(self) -> None:
        """Guards against a request that is not recognised because its prompt is described otherwise."""
        self.start(keeps_socket=False)
        numbers = itertools.count()

        def send() -> int:
            number = next(numbers)
            prefix = f"{number:08x}:400,{number:04x}ffff:600"
            return self.send(Prefix_Hash=prefix, Token_Count=f"1000,{100 + number}")

        self.check_known(send)


if __name__ == "__main__":
    unittest.main()
