"""Tests of the gossip table: size of digests, order of versions and expiry."""

import random
import unittest
import zlib

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.gossip import (
    ENTRY_LIFETIME_MS,
    MAX_DIGEST_BYTES,
    Consumption,
    EntryTooLargeError,
    GossipTable,
    Heartbeat,
    RunnerReport,
    random_targets,
    summary_targets,
)

FIXED = settings(derandomize=True, max_examples=100, deadline=None, database=None)


def consumption(neighbour="n", amount=1):
    return Consumption(neighbour, 1, amount)


class DigestTest(unittest.TestCase):
    @FIXED
    @given(st.lists(st.integers(1, 120), min_size=1, max_size=150), st.integers(0, 60))
    def test_digest_size_is_limited(self, lengths, remote):
        """Guard against messages that grow with the fleet."""
        table = GossipTable("a", 1, is_local=lambda origin: origin == "a")
        source = GossipTable("far", 1)
        for number in range(remote):
            source.put(consumption(f"f{number}"), 0)
            table.merge(source.digest(), 0)
        for number, length in enumerate(lengths):
            table.put(consumption(f"{number}" + "n" * length), 0)
        for _ in range(5):
            self.assertLessEqual(len(table.digest()), MAX_DIGEST_BYTES)
            self.assertLessEqual(len(table.summary()), MAX_DIGEST_BYTES)

    def test_entries_with_fewest_transmissions_go_first(self):
        """Guard against a new entry that waits behind entries that were sent many times."""
        table = GossipTable("a", 1)
        for number in range(200):
            table.put(consumption(f"n{number}"), 0)
        for _ in range(30):
            table.digest()
        table.put(consumption("fresh"), 0)
        other = GossipTable("b", 1)
        received = other.merge(table.digest(), 0).ok_value
        self.assertIn("fresh", [entry.payload.subject for entry in received])

    def test_every_entry_is_sent_although_others_change_constantly(self):
        """Guard against entries starved by others with frequent new versions."""
        table, other = GossipTable("a", 1), GossipTable("b", 1)
        for number in range(100):
            table.put(consumption(f"quiet{number}"), 0)
        for _ in range(40):
            for number in range(20):
                table.put(RunnerReport(f"busy{number}", True), 0)
            other.merge(table.digest(), 0)
        self.assertEqual(len(other), 120)

    def test_entry_is_sent_again_although_others_change_constantly(self):
        """Guard against an entry that reaches only some of the instances."""
        table = GossipTable("a", 1)
        table.put(consumption("once"), 0)
        table.digest()
        table.digest()
        seen = 0
        for _ in range(40):
            for number in range(100):
                table.put(RunnerReport(f"busy{number}", True), 0)
            received = GossipTable("b", 1).merge(table.digest(), 0).ok_value
            seen += "once" in [entry.payload.subject for entry in received]
        self.assertGreaterEqual(seen, 2)

    def test_heartbeats_do_not_crowd_out_other_entries_between_data_centres(self):
        """Guard against links between data centres that are mostly filled with heartbeats."""
        table, kinds = GossipTable("a", 1), []
        sources = [GossipTable(f"i{number}", 1) for number in range(100)]
        for turn in range(24):
            for source in sources:
                source.put(Heartbeat(), turn * 500)
                table.merge(source.digest(), turn * 500)
            for number in range(150):
                table.put(RunnerReport(f"r{number}", True, seq=turn), turn * 500)
            entries = GossipTable("b", 1).merge(table.summary(), 0).ok_value
            kinds += [type(entry.payload) for entry in entries]
        self.assertLess(kinds.count(Heartbeat) / len(kinds), 0.3)

    def test_heartbeats_are_not_delayed_by_load_reports(self):
        """Guard against an instance that is considered down because its data centre is busy."""
        table = GossipTable("a", 1)
        for number in range(400):
            table.put(RunnerReport(f"r{number}", True), 0)
        table.put(Heartbeat(), 0)
        received = GossipTable("b", 1).merge(table.digest(), 0).ok_value
        self.assertIn(Heartbeat(), [entry.payload for entry in received])

    def test_remote_entries_leave_room_for_local_ones(self):
        """Guard against entries of other data centres that delay local ones."""
        table = GossipTable("a", 1, is_local=lambda origin: origin == "a")
        source = GossipTable("far", 1)
        for number in range(300):
            source.put(consumption(f"f{number}"), 0)
        for _ in range(20):
            table.merge(source.digest(), 0)
        for number in range(20):
            table.put(consumption(f"own{number}"), 0)
        received = GossipTable("b", 1).merge(table.digest(), 0).ok_value
        self.assertEqual(sum(entry.origin == "a" for entry in received), 20)
        self.assertGreater(sum(entry.origin == "far" for entry in received), 5)

    def test_oversized_entry_is_an_error(self):
        """Guard against an entry that can never be sent and blocks the queue."""
        with self.assertRaises(EntryTooLargeError):
            GossipTable("a", 1).put(consumption("n" * 1_000), 0)


class MergeTest(unittest.TestCase):
    @FIXED
    @given(st.permutations(range(8)), st.lists(st.integers(0, 7), max_size=8))
    def test_order_and_repetition_do_not_matter(self, order, repeats):
        """Guard against a late or repeated digest that restores an old value."""
        source = GossipTable("a", 1)
        digests = []
        for amount in range(8):
            source.put(consumption(amount=amount), 0)
            digests.append(source.digest())
        table = GossipTable("b", 1)
        for index in [*order, *repeats]:
            table.merge(digests[index], 0)
        self.assertEqual([e.payload.consumed_ms for e in table.entries()], [7])

    def test_corrupt_digest_is_an_error_and_changes_nothing(self):
        """Guard against a crash or a partial merge on a corrupt digest."""
        source, table = GossipTable("a", 1), GossipTable("b", 1)
        source.put(consumption(), 0)
        good = source.digest()
        rng = random.Random(1)
        samples = [good[:-1], good + b"\x00", b"\xc1", b"", b"x" * 5_000]
        samples += [rng.randbytes(rng.randrange(1, 200)) for _ in range(300)]
        contents = [msgspec.msgpack.encode([["a", 1, 1, ["h", False, 0, 0]], ["a", "x"]])]
        contents += [rng.randbytes(rng.randrange(200)) for _ in range(300)]
        samples += [zlib.compress(content) for content in contents]
        for sample in samples:
            merged = table.merge(sample, 0)
            if not merged.is_err():
                self.assertEqual(msgspec.msgpack.decode(zlib.decompress(sample)), [])
        self.assertEqual(len(table), 0)

    def test_digest_that_decompresses_beyond_the_limit_is_an_error(self):
        """Guard against a small message that exhausts memory when decompressed."""
        table = GossipTable("b", 1)
        for content in (b"\x90" + b"\0" * 3_000, b"\xdd\x7f\xff\xff\xff", b"\0" * 1_000_000):
            digest = zlib.compress(content, 9)
            self.assertLessEqual(len(digest), MAX_DIGEST_BYTES)
            self.assertTrue(table.merge(digest, 0).is_err())

    def test_incompressible_entries_are_sent_later(self):
        """Guard against entries counted as sent although they did not fit in the digest."""
        rng = random.Random(3)
        table, other = GossipTable("a", 1), GossipTable("b", 1)
        names = {rng.randbytes(100).hex() for _ in range(40)}
        for name in names:
            table.put(consumption(name), 0)
        for _ in range(14):
            digest = table.digest()
            self.assertLessEqual(len(digest), MAX_DIGEST_BYTES)
            other.merge(digest, 0)
        self.assertEqual({entry.payload.subject for entry in other.entries()}, names)

    def test_new_boot_replaces_all_entries_of_the_old_one(self):
        """Guard against reports that outlive the process that wrote them."""
        table, old, new = GossipTable("b", 1), GossipTable("a", 5), GossipTable("a", 6)
        old.put(RunnerReport("r1", True), 0)
        old.put(Heartbeat(), 0)
        late = old.digest()
        table.merge(late, 0)
        new.put(Heartbeat(config_revision=3), 0)
        table.merge(new.digest(), 0)
        table.merge(late, 0)
        self.assertEqual([entry.payload for entry in table.entries()], [Heartbeat(False, -1, 3)])

    def test_restart_with_an_earlier_clock_replaces_older_entries(self):
        """Guard against an instance whose heartbeats are ignored after its clock was set back."""
        old, new, peer = GossipTable("a", 100), GossipTable("a", 50), GossipTable("b", 1)
        old.put(Heartbeat(leaving=True), 0)
        peer.merge(old.digest(), 0)
        new.put(Heartbeat(), 0)
        new.merge(peer.digest(), 0)
        peer.merge(new.digest(), 0)
        self.assertEqual([entry.payload for entry in peer.entries()], [Heartbeat()])

    def test_expired_entry_is_not_reintroduced(self):
        """Guard against entries of a dead instance that circulate forever."""
        source, table, slow = (GossipTable(name, 1) for name in "abc")
        source.put(Heartbeat(), 0)
        digest = source.digest()
        table.merge(digest, 0)
        slow.merge(digest, 1_000)
        self.assertEqual(table.expire(ENTRY_LIFETIME_MS), 1)
        table.merge(slow.digest(), ENTRY_LIFETIME_MS + 1)
        self.assertEqual(len(table), 0)
        source.put(Heartbeat(), ENTRY_LIFETIME_MS)
        table.merge(source.digest(), ENTRY_LIFETIME_MS + 2)
        self.assertEqual(len(table), 1)


class RoundTest(unittest.TestCase):
    def test_random_targets_are_other_instances(self):
        """Guard against digests that an instance sends to itself."""
        rng = random.Random(2)
        for size in range(6):
            names = [f"i{n}" for n in range(size)]
            chosen = random_targets(rng, "i0", names)
            self.assertEqual(len(set(chosen)), min(3, max(0, size - 1)))
            self.assertNotIn("i0", chosen)

    @FIXED
    @given(st.lists(st.integers(0, 4), min_size=2, max_size=8))
    def test_each_pair_of_data_centres_has_one_link(self, sizes):
        """Guard against a data centre that exchanges entries with no other."""
        ranked = {f"d{n}": [f"d{n}.{i}" for i in range(size)] for n, size in enumerate(sizes)}
        links = [
            (centre, target)
            for centre, names in ranked.items()
            for name in names
            for target in summary_targets(name, centre, ranked)
        ]
        used = [centre for centre, names in ranked.items() if names]
        pairs = [(centre, target.split(".")[0]) for centre, target in links]
        self.assertCountEqual(pairs, [(a, b) for a in used for b in used if a != b])
        for centre, target in links:
            origin = target.split(".")[0]
            back = summary_targets(target, origin, ranked)
            self.assertIn(centre, [name.split(".")[0] for name in back])


if __name__ == "__main__":
    unittest.main()
