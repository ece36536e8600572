"""Tests of the topic reader, which must reach the newest values for any sequence of answers."""

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
    TopicReader,
)


class Topic:
    """A topic of a fake store that retains the newest record of each key indefinitely."""

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.first = 0

    def put(self, key: str, value: bytes | None) -> None:
        self.records.append(KeyedRecord(key, value, len(self.records)))

    def newest(self) -> dict[str, bytes]:
        values = {record.key: record.value for record in self.records}
        return {key: value for key, value in values.items() if value is not None}

    def answer(
        self, call: ReadNewest | ReadChanges, page: int
    ) -> NewestPage | ChangesPage | OffsetExpired:
        end = len(self.records)
        match call:
            case ReadNewest(after):
                keys = sorted(key for key in self.newest() if after is None or key > after)
                items = tuple(KeyedRecord(key, self.newest()[key], 0) for key in keys[:page])
                return NewestPage(items, len(keys) > page, end)
            case ReadChanges(offset):
                if offset < self.first:
                    return OffsetExpired()
                records = tuple(self.records[offset : offset + page])
                return ChangesPage(records, offset + len(records), end)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.sampled_from("abcd"), st.sampled_from([b"1", b"2", None])),
        st.tuples(st.just("read"), st.integers(1, 3), st.none()),
        st.tuples(st.just("lost"), st.none(), st.none()),
        st.tuples(st.just("trim"), st.none(), st.none()),
    ),
    max_size=60,
)


class TopicReaderTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(STEPS)
    def test_reader_converges_to_the_topic(self, steps: list[tuple]) -> None:
        """Guards against changes that are lost between pages, after a trim or after a lost answer."""
        topic, reader, known = Topic(), TopicReader(0), {}

        def read(page: int) -> bool:
            update = reader.handle_answer(topic.answer(reader.next_call(), page), 0).update
            if update is None:
                return False
            if update.is_snapshot:
                known.clear()
            known.update(update.values)
            return True

        for kind, first, second in steps:
            match kind:
                case "put":
                    topic.put(first, second)
                case "read":
                    read(first)
                case "trim":
                    topic.first = len(topic.records)
        for _ in range(100):
            read(2)
        self.assertEqual({k: v for k, v in known.items() if v is not None}, topic.newest())

    def test_restored_topic_is_read_again_from_the_newest_records(self) -> None:
        """Guards against a reader that waits at an offset that no longer exists in the store."""
        reader = TopicReader(0)
        reader.handle_answer(NewestPage((), False, 9), 0)
        advance = reader.handle_answer(ChangesPage((), 9, 2), 0)
        self.assertEqual(advance.call, ReadNewest())


if __name__ == "__main__":
    unittest.main()
