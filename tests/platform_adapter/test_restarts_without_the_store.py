"""Tests of instances that start while the store turns them away and serves the others."""

import time
import unittest

from tests.soak.links import LinkMode

from .changing_routes import IN_FORCE_S, ChangingRoutesTestCase
from .processes import Instance

# Time within which the process has started, and is known to have data.
START_S = 3.0
# Time after the kill at which the process starts again.
DOWN_S = 1.0


class RestartTest(ChangingRoutesTestCase):
    def check_restart(
        self, instance: Instance, *cut: Instance, mode: LinkMode = LinkMode.UNAVAILABLE
    ) -> None:
        """Restart an instance that the store turns away; the others have the data and its address.

        The store turns away the instances `cut` as well.
        """
        instance.close()
        self.cut(mode, instance, *cut)
        time.sleep(DOWN_S)
        started_s = time.monotonic()
        instance.start()
        found_s = None
        while time.monotonic() < started_s + START_S + 4 * IN_FORCE_S and found_s is None:
            if instance.is_ready():
                found_s = time.monotonic() - started_s
            time.sleep(0.1)
        self.assertIsNotNone(found_s, [(line["event"]) for line in instance.lines[-8:]])
        self.assertLess(found_s, START_S + IN_FORCE_S)

    def test_first_hub(self) -> None:
        """Guards against a hub without a configuration although the others query it."""
        self.check_restart(self.ranked[0])

    def test_second_hub(self) -> None:
        """Guards against the same at the second hub, to which the others hold no connection."""
        self.check_restart(self.ranked[1])

    def test_last(self) -> None:
        """Guards against an instance without a configuration because no other one queries it."""
        self.check_restart(self.ranked[-1])

    def test_last_while_the_store_does_not_answer(self) -> None:
        self.check_restart(self.ranked[-1], mode=LinkMode.SILENT)

    def test_last_while_the_first_hub_is_turned_away(self) -> None:
        """Guards against the same while the instance that connects to it is cut off itself."""
        self.check_restart(self.ranked[-1], self.ranked[0])


if __name__ == "__main__":
    unittest.main()
