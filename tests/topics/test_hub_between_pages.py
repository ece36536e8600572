"""Tests of an instance whose pages of the store end before and after the position of its hub."""

import unittest

from ibispaddle_core.topics import (
    KeyedRecord,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReadNewest,
    TopicMirror,
    TopicReader,
    TopicUpdate,
)

from .positions import at

QUERIES = 6


class HubBetweenPagesTest(unittest.TestCase):
    def test_queries_end(self) -> None:
        """Guards against queries that follow each other at once and get all keys each second time."""
        hub = TopicMirror()
        hub.apply(TopicUpdate({"a": b"1", "b": b"2"}, is_snapshot=True), at(7))
        reader = TopicReader(0)
        reader.handle_answer(NewestPage((KeyedRecord("a", b"1", 0),), True, 5), 100)
        reader.handle_answer(NewestPage((KeyedRecord("b", b"3", 8),), False, 9), 110)
        answers = []
        for _ in range(QUERIES):
            position = reader.relayed_position
            call = ReadNewest() if position is None else ReadChanges(position.offset, 0)
            if not hub.has_changes_for(call):
                break  # The hub holds the query.
            answer = hub.answer(call)
            assert answer is not None
            answers.append(type(answer))
            reader.handle_relayed(answer, 120)
        self.assertLessEqual(answers.count(OffsetExpired), 1, answers)


if __name__ == "__main__":
    unittest.main()
