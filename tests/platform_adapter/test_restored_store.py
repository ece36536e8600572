"""Tests of versions of the configuration that instances miss after the store was restored from a copy.

The store is away from all instances for a moment, and comes back without the last versions. The operator
writes the newest one again.
"""

import time
import unittest

from tests.soak.links import LinkMode

from .changing_routes import IN_FORCE_S, ChangingRoutesTestCase

AWAY_S = 1.1
LOST_VERSIONS = 2
# Time after the store's return in which requests are checked.
CHECKED_S = 2 * IN_FORCE_S


class RestoredStoreTest(ChangingRoutesTestCase):
    def put_versions(self) -> None:
        """Write no versions but those of the test."""

    def lose_versions(self) -> None:
        """Write versions that the store will lose, and take the store away."""
        self.platform.copy_store()
        for _ in range(LOST_VERSIONS):
            self.wait_for_version(self.operator.put_version())
        self.links.set_mode(LinkMode.RESET, *self.ranked)
        time.sleep(AWAY_S)
        self.platform.restore_store()

    def test_offsets_that_are_given_out_again(self) -> None:
        """Guards against versions that all instances miss, as they continue at an offset of the lost ones."""
        self.lose_versions()
        self.operator.repeat_version()
        for _ in range(LOST_VERSIONS - 1):
            self.operator.put_version()
        self.links.set_mode(LinkMode.OPEN, *self.ranked)
        back_s = time.monotonic()
        time.sleep(CHECKED_S)
        self.check_requests(back_s)


if __name__ == "__main__":
    unittest.main()
