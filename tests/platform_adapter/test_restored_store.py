"""Tests of versions of the configuration that instances miss after the store was restored from a copy.

The store is away from all instances for a moment, and comes back without the last versions. The operator
writes the newest one again.
"""

import time
import unittest

from tests.soak.links import LinkMode

from .changing_routes import IN_FORCE_S, ChangingRoutesTestCase
from .processes import Instance

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

    def write_again(self) -> None:
        """Write the newest version again, and others up to the offset that the instances have reached."""
        self.operator.repeat_version()
        for _ in range(LOST_VERSIONS - 1):
            self.operator.put_version()

    def check_return(self, *instances: Instance) -> None:
        """Let the store serve some or all instances again, and check the requests to all of them."""
        self.links.set_mode(LinkMode.OPEN, *(instances or self.ranked))
        back_s = time.monotonic()
        time.sleep(CHECKED_S)
        self.check_requests(back_s)

    def test_offsets_that_are_given_out_again(self) -> None:
        """Guards against versions that all instances miss, as they continue at an offset of the lost ones."""
        self.lose_versions()
        self.write_again()
        self.check_return()

    def test_instance_that_learns_it_from_others(self) -> None:
        """Guards against a version that the first hub misses because the store still turns it away."""
        self.lose_versions()
        self.write_again()
        self.links.set_mode(LinkMode.UNAVAILABLE, self.ranked[0])
        self.check_return(*self.ranked[1:])

    def test_version_that_the_store_lacks(self) -> None:
        """Guards against instances that go back to the version of the copy until the newest is written again."""
        self.lose_versions()
        self.links.set_mode(LinkMode.OPEN, *self.ranked)
        time.sleep(CHECKED_S)
        self.write_again()
        self.check_return()

    def test_number_that_is_given_out_again(self) -> None:
        """Guards against a version that is ignored because the one that was lost had its number."""
        self.lose_versions()
        self.operator.reuse_number()
        self.operator.put_version()
        self.check_return()


if __name__ == "__main__":
    unittest.main()
