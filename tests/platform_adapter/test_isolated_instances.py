"""Tests of instances that reach no upstream, while consumers, the store and others reach them."""

import unittest

from .isolation import INSTANCES, IsolationTestCase, data_centre
from .upstream_links import CutMode

# One instance of each data centre.
TWO = (1, 4)


class IsolatedInstancesTest(IsolationTestCase):
    def test_connections_hang(self) -> None:
        """Guards against callers whose requests wait at an instance that reaches no upstream."""
        self.check_cut(dict.fromkeys(TWO, CutMode.HANG))

    def test_connections_are_reset(self) -> None:
        """Guards against callers who get 502 at an instance whose connections are all reset."""
        self.check_cut(dict.fromkeys(TWO, CutMode.RESET))

    def test_new_connections_are_refused(self) -> None:
        """Guards against callers who are refused where only open connections work."""
        self.check_cut(dict.fromkeys(TWO, CutMode.REFUSE_NEW))

    def test_data_centre(self) -> None:
        """Guards against delegates that are looked for in a data centre that is cut as a whole."""
        numbers = [n for n in range(INSTANCES) if data_centre(n) == "b"]
        self.check_cut(dict.fromkeys(numbers, CutMode.HANG))

    def test_all_but_one(self) -> None:
        """Guards against isolated instances that pass requests on to each other."""
        self.check_cut(dict.fromkeys(range(1, INSTANCES), CutMode.RESET))


if __name__ == "__main__":
    unittest.main()
