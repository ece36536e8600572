"""Tests of evacuations as records of a topic, and of the checks of evacuated data centres."""

import unittest

from ibispaddle_core.evacuations import Evacuation, EvacuationRecords, check_evacuations
from ibispaddle_core.topics import TopicUpdate


def read(key: str, value: bytes) -> Evacuation | None:
    return Evacuation(key[2:], value != b"?") if key.startswith("e/") else None


class EvacuationRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records = EvacuationRecords(read)
        self.records.apply(TopicUpdate({"e/a": b"1", "e/b": b"1", "other": b"1"}, True))

    def test_snapshot_without_a_key_ends_its_evacuation(self) -> None:
        """Guards against an evacuation that outlasts a removal that was missed in an outage."""
        self.records.apply(TopicUpdate({"e/b": b"1"}, is_snapshot=True))
        self.assertEqual(self.records.data_centres, {"b"})

    def test_restored_store_without_a_key(self) -> None:
        """Guards against an evacuation that ends because the store has lost its record."""
        self.records.apply(TopicUpdate({"e/b": b"1"}, is_snapshot=True, is_restored=True))
        self.assertEqual(self.records.data_centres, {"a", "b"})
        self.records.apply(TopicUpdate({"e/a": None}))
        self.assertEqual(self.records.data_centres, {"b"})

    def test_changes_of_other_records(self) -> None:
        """Guards against an evacuation that ends with any other change of the topic."""
        self.records.apply(TopicUpdate({"other": b"2"}))
        self.records.apply(TopicUpdate({}))
        self.assertEqual(self.records.data_centres, {"a", "b"})

    def test_removed_records(self) -> None:
        """Guards against an evacuation that cannot be taken back."""
        self.records.apply(TopicUpdate({"e/a": None, "e/c": None}))
        self.assertEqual(self.records.data_centres, {"b"})

    def test_unreadable_value_and_empty_name(self) -> None:
        """Guards against an evacuation that is ignored, and one that names no data centre."""
        self.assertEqual(self.records.apply(TopicUpdate({"e/c": b"?"})), ("e/c",))
        self.records.apply(TopicUpdate({"e/": b"1"}))
        self.assertEqual(self.records.data_centres, {"a", "b", "c"})


class CheckTest(unittest.TestCase):
    def ids(self, evacuated: set[str], known: set[str]) -> list[str]:
        return [message.id for message in check_evacuations(evacuated, known)]

    def test_checks(self) -> None:
        """Guards against misspelt names and a fleet that serves nobody."""
        self.assertEqual(self.ids({"a"}, {"a", "b"}), [])
        self.assertEqual(self.ids({"a", "c"}, {"a", "b"}), ["evacuations.W001"])
        self.assertEqual(self.ids({"a", "b"}, {"a", "b"}), ["evacuations.E001"])
        self.assertEqual(self.ids({"a"}, set()), ["evacuations.W001"])


if __name__ == "__main__":
    unittest.main()
