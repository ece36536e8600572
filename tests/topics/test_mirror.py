"""Tests of the copies of topics that instances serve to each other."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.topics import (
    ChangesPage,
    KeyedRecord,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReadNewest,
    TopicMirror,
    TopicReader,
    TopicUpdate,
)
from ibispaddle_core.topics.mirror import MAX_CHANGES

from .positions import at


def apply(known: dict, update: TopicUpdate) -> None:
    """Apply an update as the owner of a reader does."""
    if update.is_snapshot:
        known.clear()
    for key, value in update.values.items():
        known.pop(key, None)
        if value is not None:
            known[key] = value


CHANGE = st.tuples(st.sampled_from("ab"), st.sampled_from([None, b"1", b"2"]))


def state_after(changes: list[tuple[str, bytes | None]]) -> dict:
    """Return the values of all keys after some changes."""
    return {key: value for key, value in dict(changes).items() if value is not None}


class TopicMirrorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.mirror = TopicMirror(lambda key, old, new: old[:1] == new[:1])
        self.mirror.apply(TopicUpdate({"a": b"1"}, is_snapshot=True), at(5))

    def test_heartbeats_are_not_passed_on(self) -> None:
        """Guards against traffic between instances that grows with the number of upstreams."""
        self.mirror.apply(TopicUpdate({"a": b"1 again"}), at(9))
        call = ReadChanges(5, 0)
        self.assertFalse(self.mirror.has_changes_for(call))
        self.assertEqual(self.mirror.answer(call), ChangesPage((), 9, 9))

    def test_removed_keys_are_passed_on_once(self) -> None:
        """Guards against an upstream that other instances still use after it was removed."""
        self.mirror.apply(TopicUpdate({"a": None, "b": None}), at(7))
        answer = self.mirror.answer(ReadChanges(5, 0))
        self.assertEqual(answer, ChangesPage((KeyedRecord("a", None, 7),), 7, 7))

    def test_callers_that_are_ahead_or_too_far_behind(self) -> None:
        """Guards against a configuration that reverts to an older one, and against lost changes."""
        self.assertIsNone(self.mirror.answer(ReadChanges(6, 0)))
        self.assertEqual(self.mirror.answer(ReadChanges(4, 0)), OffsetExpired())
        for number in range(MAX_CHANGES + 1):
            self.mirror.apply(TopicUpdate({"a": b"%d" % (number % 9)}), at(6 + number))
        self.assertEqual(self.mirror.answer(ReadChanges(5, 0)), OffsetExpired())
        self.assertIsInstance(self.mirror.answer(ReadNewest()), NewestPage)

    def test_callers_within_a_read(self) -> None:
        """Guards against an evacuation that goes on at an instance that read its start but not its end.

        The mirror read both at once, so that nothing changed there.
        """
        self.mirror.apply(TopicUpdate({"a": b"1 again", "e": None}), at(9))
        records = (KeyedRecord("a", b"1 again", 7), KeyedRecord("e", None, 7))
        self.assertTrue(self.mirror.has_changes_for(ReadChanges(7, 0)))
        self.assertEqual(self.mirror.answer(ReadChanges(7, 0)), ChangesPage(records, 9, 9))
        self.assertEqual(self.mirror.answer(ReadChanges(9, 0)), ChangesPage((), 9, 9))

    def test_callers_within_relayed_changes(self) -> None:
        """Guards against the same where the changes came from another hub, which left out the records."""
        self.mirror.apply(TopicUpdate({"b": b"2"}), at(9), is_relayed=True)
        self.assertEqual(self.mirror.answer(ReadChanges(7, 0)), OffsetExpired())
        self.assertEqual(
            self.mirror.answer(ReadChanges(5, 0)), ChangesPage((KeyedRecord("b", b"2", 9),), 9, 9)
        )

    def test_snapshot_of_several_pages(self) -> None:
        """Guards against a change that a caller misses because a page of the snapshot had it already."""
        self.mirror.apply(
            TopicUpdate({"a": b"2"}, is_snapshot=True), at(8), settled_position=at(12)
        )
        for call in (ReadNewest(), ReadChanges(8, 0), ReadChanges(10, 0)):
            self.assertFalse(self.mirror.has_changes_for(call))
            self.assertIsNone(self.mirror.answer(call))
        self.mirror.apply(TopicUpdate({}), at(13), settled_position=at(13))
        self.assertEqual(self.mirror.answer(ReadChanges(10, 0)), OffsetExpired())
        self.assertEqual(
            self.mirror.answer(ReadNewest()), NewestPage((KeyedRecord("a", b"2", 13),), False, 13)
        )

    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.lists(CHANGE, max_size=5), max_size=6), st.lists(CHANGE, max_size=5))
    def test_callers_at_any_position(self, reads: list[list], paged: list) -> None:
        """Guards against a caller that counts as up to date but misses a change, wherever it is.

        The snapshot has the changes of `paged` to one of the two keys already, as a later page would.
        """
        mirror = TopicMirror()
        mirror.apply(
            TopicUpdate(state_after([c for c in paged if c[0] == "b"]), is_snapshot=True),
            at(0),
            settled_position=at(len(paged)),
        )
        history: list[tuple[str, bytes | None]] = []
        for changes in [paged, *reads]:
            history += changes
            mirror.apply(TopicUpdate(dict(changes)), at(len(history)))
            for offset in range(len(history) + 1):
                answer = mirror.answer(ReadChanges(offset, 0))
                if not isinstance(answer, ChangesPage):
                    self.assertIsInstance(answer, OffsetExpired)
                    answer = mirror.answer(ReadNewest())
                    known = {}
                else:
                    known = state_after(history[:offset])
                apply(known, TopicUpdate({r.key: r.value for r in answer.records}))
                self.assertEqual(known, state_after(history), offset)

    def test_no_answer_before_the_first_read(self) -> None:
        """Guards against an empty list from an instance that has just started."""
        self.assertIsNone(TopicMirror().answer(ReadNewest()))

    @given(st.data())
    def test_follower_has_the_same_values_as_the_mirror(self, data: st.DataObject) -> None:
        """Guards against a follower that misses a change, at any time of its calls."""
        mirror, reader = TopicMirror(), TopicReader(0)
        expected: dict[str, bytes] = {}
        known: dict[str, bytes] = {}
        position = 0
        steps = st.tuples(st.sampled_from("abc"), st.sampled_from([None, b"1", b"2"]))
        mirror.apply(TopicUpdate({}, is_snapshot=True), at(position))
        for changes in data.draw(st.lists(st.lists(steps, max_size=4), max_size=12)):
            update = TopicUpdate(dict(changes), is_snapshot=data.draw(st.booleans()))
            position += len(changes) + 1
            apply(expected, update)
            mirror.apply(update, at(position))
            if data.draw(st.booleans()):
                continue
            for _ in range(3):
                answer = mirror.answer(reader.next_call())
                received = (
                    reader.handle_relayed(answer, position).update if answer is not None else None
                )
                if received is not None:
                    apply(known, received)
                    break
            self.assertEqual(known, expected)


if __name__ == "__main__":
    unittest.main()
