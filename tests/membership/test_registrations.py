"""Tests of the upstreams that register themselves in the store."""

import unittest

from ibispaddle_core.membership import ListedState, Registration, RegistrationTable
from ibispaddle_core.membership.registrations import (
    RESTORED_ENTRY_GRACE_MS,
    STORE_RECOVERY_GRACE_MS,
)


def registration(name: str, leaving: bool = False, boot_ms: int = 1) -> Registration:
    return Registration(name, "s", f"10.0.0.1:{len(name)}", "dc", leaving, boot_ms)


class RegistrationTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RegistrationTable()
        self.table.apply({n: registration(n) for n in ("a", "b")}, True, now_ms=0)

    def ids(self) -> list[str]:
        return [entry.id for entry in self.table.entries()]

    def test_deleted_and_missing_entries_are_removed(self) -> None:
        """Guards against work for an upstream whose entry was removed."""
        self.table.apply({"a": None}, False, 100)
        self.assertEqual(self.ids(), ["b"])
        self.table.apply({}, True, 200)
        self.assertEqual(self.ids(), [])

    def test_leaving_entries_stay_listed(self) -> None:
        """Guards against new work for an upstream that is leaving."""
        self.table.apply({"a": registration("a", True)}, False, 100)
        self.assertEqual(self.table.entries()[0].state, ListedState.LEAVING)

    def test_entries_that_expired_in_an_outage_get_a_grace_period(self) -> None:
        """Guards against an empty fleet when the store recovers before the heartbeats resume."""
        self.table.apply({}, True, 10_000, store_recovered_ms=10_000)
        self.assertEqual(self.ids(), ["a", "b"])
        self.table.apply({"a": registration("a")}, False, 11_000, store_recovered_ms=10_000)
        self.table.expire(10_000 + STORE_RECOVERY_GRACE_MS)
        self.assertEqual(self.ids(), ["a"])

    def test_leaving_entries_get_no_grace_period(self) -> None:
        """Guards against work for an upstream that left during an outage."""
        self.table.apply({"a": registration("a", True)}, False, 9_000)
        self.table.apply({"a": None}, False, 10_000, store_recovered_ms=10_000)
        self.assertEqual(self.ids(), ["b"])

    def test_entry_removed_after_the_recovery_gets_no_longer_grace_period(self) -> None:
        """Guards against work for an upstream that left a second ago, after the recovery."""
        self.table.apply({"a": None}, False, 10_900, store_recovered_ms=10_000)
        self.table.expire(12_000)
        self.assertEqual(self.ids(), ["b"])

    def test_later_removals_take_effect_immediately(self) -> None:
        """Guards against upstreams that are kept long after an outage."""
        self.table.apply(
            {"a": None}, False, 10_000 + STORE_RECOVERY_GRACE_MS, store_recovered_ms=10_000
        )
        self.assertEqual(self.ids(), ["b"])

    def restore(self, *entries: Registration, now_ms: int = 2_000) -> None:
        """Apply the entries of a store that was restored."""
        values = {entry.upstream_id: entry for entry in entries}
        self.table.apply(values, True, now_ms, store_recovered_ms=now_ms, is_restored=True)

    def states(self) -> dict[str, ListedState]:
        return {entry.id: entry.state for entry in self.table.entries()}

    def test_restored_entry_of_a_leaving_upstream(self) -> None:
        """Guards against new work for an upstream whose statement that it leaves was lost."""
        self.table.apply({"a": registration("a", True)}, False, 1_000)
        self.restore(registration("a"), registration("b"))
        self.table.expire(2_000 + RESTORED_ENTRY_GRACE_MS - 1)
        self.assertEqual(self.states(), {"a": ListedState.LEAVING, "b": ListedState.LIVE})
        self.table.expire(2_000 + RESTORED_ENTRY_GRACE_MS)
        self.assertEqual(self.states()["a"], ListedState.LIVE)

    def test_restored_entry_of_an_upstream_that_has_left(self) -> None:
        """Guards against work for an upstream that is gone because its removal was lost."""
        self.table.apply({"a": None}, False, 1_000)
        self.restore(registration("a"), registration("b"))
        self.assertEqual(self.ids(), ["b"])
        self.table.apply({"a": None}, False, 3_000)
        self.table.expire(2_000 + RESTORED_ENTRY_GRACE_MS)
        self.assertEqual(self.ids(), ["b"])

    def test_restored_entry_that_is_written_again(self) -> None:
        """Guards against an upstream that is left out although it has reported since the restoration."""
        self.table.apply({"a": None}, False, 1_000)
        self.restore(registration("a"), registration("b"))
        self.table.apply({"a": registration("a")}, False, 2_100)
        self.assertEqual(self.ids(), ["a", "b"])

    def test_restored_entry_of_another_process(self) -> None:
        """Guards against an upstream that is left out because another process under its id has left."""
        self.table.apply({"a": None}, False, 1_000)
        self.restore(registration("a", boot_ms=2), registration("b"))
        self.assertEqual(self.ids(), ["a", "b"])

    def test_entry_that_a_restored_store_lacks(self) -> None:
        """Guards against an upstream that is removed because its registration was lost."""
        self.restore(registration("b"))
        self.assertEqual(self.ids(), ["a", "b"])
        self.table.expire(2_000 + STORE_RECOVERY_GRACE_MS)
        self.assertEqual(self.ids(), ["b"])

    def test_heartbeats_do_not_rebuild_the_entries(self) -> None:
        """Guards against rebuilding thousands of entries several times a second.

        This happens with 3,000 upstreams that each repeat their entry every 1.2 s.
        """
        before = self.table.entries()
        self.table.apply({"a": registration("a")}, False, 100)
        self.table.expire(200)
        self.assertIs(self.table.entries(), before)
        self.table.apply({"a": registration("a", True)}, False, 300)
        after = self.table.entries()
        self.assertEqual(after[0].state, ListedState.LEAVING)
        self.assertIs(after[1], before[1])

    def cold(self, name: str, left_ms: int | None, now_ms: int) -> int | None:
        """Apply a heartbeat, and return the end of the cold time in the list."""
        item = registration(name)
        item = Registration(name, item.service, item.address, "dc", cold_remaining_ms=left_ms)
        self.table.apply({name: item}, False, now_ms)
        return {entry.id: entry.cold_until_ms for entry in self.table.entries()}[name]

    def test_countdown_of_a_cold_upstream_does_not_change_the_list(self) -> None:
        """A data centre returns cold, and each of its upstreams repeats its entry every 1.2 s."""
        self.assertEqual(self.cold("a", 3_000, 1_000), 4_000)
        before = self.table.entries()
        for left_ms, now_ms in ((1_800, 2_300), (600, 3_400), (0, 4_700), (0, 5_900)):
            self.assertEqual(self.cold("a", left_ms, now_ms), 4_000)
            self.assertIs(self.table.entries(), before)

    def test_upstream_that_is_cold_again(self) -> None:
        """An upstream becomes cold again without a restart, while it is cold and after that."""
        self.cold("a", 3_000, 1_000)
        self.assertEqual(self.cold("a", 2_800, 2_200), 5_000)
        self.assertEqual(self.cold("a", 0, 6_000), 5_000)
        self.assertEqual(self.cold("a", 2_500, 20_000), 22_500)

    def test_upstream_that_is_warm_earlier_than_it_stated(self) -> None:
        """Guards against a limit that stays in force for an upstream which is warm again."""
        self.cold("a", 30_000, 1_000)
        self.assertEqual(self.cold("a", 0, 2_200), 2_200)

    def test_entry_without_a_cold_time(self) -> None:
        """Guards against an entry that states nothing and is taken for a warm one."""
        self.assertIsNone(self.cold("a", None, 1_000))
        self.assertEqual(self.cold("c", 0, 1_000), 0)


if __name__ == "__main__":
    unittest.main()
