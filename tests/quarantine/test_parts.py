"""Tests of the quarantine by part: few crashes by a part, and no sound part is blocked for long."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.quarantine import (
    CrashReport,
    Death,
    PartCleared,
    PartQuarantine,
    part_key,
)
from ibispaddle_core.quarantine import parts as limits

FIXED = settings(derandomize=True, max_examples=150, deadline=None, database=None)
CONFIRMED_MS = limits.CONFIRMATION_MS
HOUR_MS = limits.WINDOW_MS


def death(number: int) -> Death:
    return Death(f"r{number}", "boot")


def crash(number: int, *parts: str, request: str = "", sound: tuple[str, ...] = ()) -> CrashReport:
    """Return the report of a crash of one upstream, by default by a request that no other one equals."""
    return CrashReport(death(number), request or f"request-{number}", parts, sound)


class PartQuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = PartQuarantine()
        self.now_ms = 0

    def merge(self, *changes: object) -> None:
        self.quarantine.merge(changes, self.now_ms, self.now_ms)

    def respond(self, *parts: str, request: str = "other", sequence: int | None = None) -> None:
        """Merge the clearances of a response that began with the current state."""
        known = self.quarantine.sequence if sequence is None else sequence
        self.merge(*self.quarantine.record_response(parts, request, known))

    def decide(self, after_ms: int = CONFIRMED_MS) -> list[str]:
        self.now_ms += after_ms
        entries = self.quarantine.evaluate(self.now_ms, self.now_ms)
        return [entry.part for entry in entries]

    def blocked(self, *parts: str, request: str = "new") -> str | None:
        return self.quarantine.blocked_part(parts, request, self.now_ms)

    def test_part_is_told_from_its_companions_by_responses(self) -> None:
        """Guards against refusals of sound requests that share all but one part with deadly ones."""
        for number in range(3):
            self.merge(crash(number, "first", "deadly"))
        self.respond("first")
        self.assertEqual(self.decide(), ["deadly"])
        self.assertEqual(self.blocked("first", "deadly"), "deadly")
        self.assertIsNone(self.blocked("first"))

    def test_companion_without_a_response_is_spared(self) -> None:
        """Guards against a rare first part that is blocked with the part that follows it."""
        for number in range(3):
            self.merge(crash(number, "first", "deadly"))
        self.assertEqual(self.decide(), ["deadly"])
        self.assertEqual(self.decide(10_000), [])
        self.merge(crash(3, "first", "deadly"), crash(4, "first", "deadly"))
        self.assertEqual(self.decide(10_000), [])

    def test_known_sound_part_is_spared_wherever_it_is(self) -> None:
        """Guards against a sound part that is blocked because it follows the deadly one."""
        for number in range(4):
            self.merge(crash(number, "deadly", "session", sound=("session",)))
        self.assertEqual(self.decide(), ["deadly"])
        self.assertEqual(self.decide(10_000), [])

    def test_part_that_was_sound_before_is_found(self) -> None:
        """Guards against a part that crashes upstreams only since their software was replaced."""
        self.respond("first", "turned")
        self.assertEqual(
            self.quarantine.crash_report(death(0), ("first", "turned"), "r").sound_parts,
            ("first", "turned"),
        )
        for number in range(3):
            self.merge(crash(number, "first", "turned", sound=("first", "turned")))
        self.respond("first")
        self.assertEqual(self.decide(CONFIRMED_MS), [])
        self.assertEqual(self.decide(limits.SOUND_CONFIRMATION_MS), ["turned"])

    def test_fifth_crash_needs_no_confirmation(self) -> None:
        """Guards against further crashes while the part is being confirmed."""
        for number in range(5):
            self.merge(crash(number, "deadly"))
        self.assertEqual(self.decide(0), ["deadly"])

    def test_response_that_began_before_a_crash_is_no_evidence(self) -> None:
        """Guards against a long stream that clears a part of later crashes."""
        began = self.quarantine.sequence
        for number in range(3):
            self.merge(crash(number, "deadly"))
        self.respond("deadly", sequence=began)
        self.assertEqual(self.decide(), ["deadly"])

    def test_one_request_does_not_condemn_its_parts(self) -> None:
        """Guards against refusals of a part because one request with it crashes upstreams."""
        for number in range(4):
            self.merge(crash(number, "part", request="deadly request"))
        self.assertEqual(self.decide(), ["deadly request"])
        self.assertIsNone(self.blocked("part"))
        self.assertEqual(self.blocked("part", request="deadly request"), "deadly request")
        # Another request with the part crashes upstreams as well, so it was the part.
        self.merge(crash(5, "part", request="another request"))
        self.assertEqual(self.decide(), ["part"])

    def test_a_crash_counts_once(self) -> None:
        """Guards against a quarantine after one crash that several requests and instances report."""
        for number in range(6):
            self.merge(CrashReport(death(0), f"request {number}", ("part",)))
        self.assertEqual(self.decide(10_000), [])

    def test_clearance_precedes_its_report(self) -> None:
        """Guards against a crash that counts again when a slow instance reports it."""
        self.merge(PartCleared("part", tuple(death(number) for number in range(3))))
        for number in range(3):
            self.merge(crash(number, "part"))
        self.assertEqual(self.decide(10_000), [])

    def test_response_lifts_a_quarantine(self) -> None:
        """Guards against an hour of refusals after an upstream has proved the part sound."""
        for number in range(5):
            self.merge(crash(number, "part"))
        self.decide(0)
        self.respond("part")
        self.assertIsNone(self.blocked("part"))

    def test_operator_lifts_a_quarantine(self) -> None:
        """Guards against a companion that is blocked in place of the part that was lifted."""
        self.assertEqual(self.quarantine.lift("part"), ())
        for number in range(5):
            self.merge(crash(number, "first", "part"))
        self.decide(0)
        entry = self.quarantine.entry("part", self.now_ms, self.now_ms)
        self.merge(*self.quarantine.lift("part"))
        self.merge(entry)  # A late copy of the stored entry.
        self.assertEqual(self.decide(10_000), [])
        self.assertIsNone(self.blocked("first", "part"))

    def test_entry_informs_an_instance_that_has_just_started(self) -> None:
        """Guards against a fleet that forgets the part when all instances are restarted."""
        for number in range(5):
            self.merge(crash(number, "part"))
        self.decide(0)
        fresh = PartQuarantine()
        entry = self.quarantine.entry("part", self.now_ms, self.now_ms)
        fresh.merge([entry], 0, self.now_ms + HOUR_MS // 2)
        self.assertEqual(fresh.blocked_part(("part",), "r", 1), "part")
        self.assertEqual(fresh.remaining_ms("part", 0), HOUR_MS // 2)
        expired = PartQuarantine()
        expired.merge([entry], 0, self.now_ms + HOUR_MS)
        self.assertIsNone(expired.blocked_part(("part",), "r", 1))

    def test_everything_expires(self) -> None:
        """Guards against suspicions and refusals without end."""
        for number in range(5):
            self.merge(crash(number, "part"))
        self.merge(crash(9, "other"))
        self.decide(0)
        self.now_ms += HOUR_MS
        self.assertIsNone(self.blocked("part"))
        self.quarantine.expire(self.now_ms)
        self.assertFalse(self.quarantine.has_suspects)
        self.assertEqual(self.quarantine.quarantined_parts, frozenset())

    def test_state_is_bounded(self) -> None:
        """Guards against callers that use up the memory with parts, crashes or long keys."""
        many = tuple(f"p{number}" for number in range(10 * limits.MAX_PARTS_PER_REPORT))
        report = self.quarantine.crash_report(death(0), many, "r")
        self.assertEqual(len(report.parts), limits.MAX_PARTS_PER_REPORT)
        for number in range(limits.MAX_SUSPECTS + 100):
            self.merge(crash(1, f"part {number}", request="r"))
        self.assertLessEqual(len(self.quarantine._suspects), limits.MAX_SUSPECTS)
        for number in range(limits.MAX_CRASHES_PER_PART + 10):
            self.merge(crash(number, "crowded"))
        crashes = self.quarantine._suspects["crowded"].crashes
        self.assertEqual(len(crashes), limits.MAX_CRASHES_PER_PART)
        for number in range(limits.MAX_SOUND_PARTS + 10):
            self.respond(f"sound {number}")
        self.assertEqual(len(self.quarantine._sound), limits.MAX_SOUND_PARTS)
        self.assertLessEqual(len(part_key("x" * 10_000)), 64)
        self.assertNotEqual(part_key("\x00"), "\x00")

    def test_changes_reach_another_instance_once(self) -> None:
        """Guards against changes that two instances send each other without end."""
        other = PartQuarantine()
        for number in range(5):
            self.merge(crash(number, "part"))
        self.decide(0)
        sequence, changes = self.quarantine.changes_since(0)
        self.assertEqual(sequence, self.quarantine.sequence)
        other.merge(changes, 7, self.now_ms)
        self.assertEqual(other.quarantined_parts, {"part"})
        _, echoed = other.changes_since(0)
        self.merge(*echoed)
        self.assertEqual(self.quarantine.changes_since(sequence), (sequence, ()))

    def test_long_histories_are_sent_in_pieces(self) -> None:
        for number in range(limits.MAX_CHANGES_PER_MESSAGE + 5):
            self.merge(crash(number, f"p{number}"))
        sequence, changes = self.quarantine.changes_since(0)
        self.assertEqual(len(changes), limits.MAX_CHANGES_PER_MESSAGE)
        end, rest = self.quarantine.changes_since(sequence)
        self.assertEqual((end, len(rest)), (self.quarantine.sequence, 5))

    def test_restarted_upstream_is_another_boot(self) -> None:
        """Guards against a second crash of an upstream that is mistaken for the first one."""
        self.assertEqual(self.quarantine.current_boot_id("r0", "boot"), "boot")
        self.merge(crash(0, "part"))
        self.assertEqual(self.quarantine.current_boot_id("r0", "boot"), "boot+")
        self.assertEqual(self.quarantine.current_boot_id("r0", "later"), "later")

    def test_second_crash_before_the_first_is_proved(self) -> None:
        """Guards against crashes that count as one, as the supervisor accepts the next request at once."""
        boots = [
            self.quarantine.current_boot_id("r0", "boot", is_late) for is_late in (False, True)
        ]
        for number, boot in enumerate(boots):
            report = CrashReport(Death("r0", boot), f"request {number}", ("a",))
            self.quarantine.merge([report], number, number)
        self.assertEqual(len(set(boots)), 2)
        self.assertEqual(self.quarantine.current_boot_id("r0", "boot", True), "boot++")


class Fleet:
    """Simulate instances that exchange their changes with a delay, and callers that retry once."""

    def __init__(self, seed: int, instances: int, delay_ms: int, first_parts: int) -> None:
        self.rng = random.Random(seed)
        self.views = [PartQuarantine() for _ in range(instances)]
        self.delay_ms, self.first_parts = delay_ms, first_parts
        self.boots = 0
        self.now_ms = 0
        self.in_transit: list[tuple[int, int, list]] = []  # Due time, receiver and changes.
        self.crashes: list[int] = []  # Times.
        self.refused_sound = self.sound = 0

    def share(self, sender: int, changes: list) -> None:
        self.views[sender].merge(changes, self.now_ms, self.now_ms)
        for receiver in range(len(self.views)):
            if receiver != sender and changes:
                self.in_transit.append((self.now_ms + self.delay_ms, receiver, changes))

    def send(self, is_deadly: bool) -> None:
        first = f"f{self.rng.randrange(self.first_parts)}"
        parts = (first, "deadly") if is_deadly else (first,)
        request = f"request {self.rng.getrandbits(60)}"
        for _ in range(2 if is_deadly else 1):
            number = self.rng.randrange(len(self.views))
            view = self.views[number]
            refused = view.blocked_part(parts, request, self.now_ms) is not None
            if not is_deadly:
                self.sound += 1
                self.refused_sound += refused
                if not refused:
                    self.share(number, list(view.record_response(parts, request, view.sequence)))
            elif not refused:
                self.boots += 1
                self.crashes.append(self.now_ms)
                died = Death("r", str(self.boots))
                self.share(number, [view.crash_report(died, parts, request)])

    def step(self, duration_ms: int) -> None:
        self.now_ms += duration_ms
        due = [item for item in self.in_transit if item[0] <= self.now_ms]
        self.in_transit = [item for item in self.in_transit if item[0] > self.now_ms]
        for _, receiver, changes in due:
            self.views[receiver].merge(changes, self.now_ms, self.now_ms)
        for number, view in enumerate(self.views):
            self.share(number, list(view.evaluate(self.now_ms, self.now_ms)))


class PartQuarantinePropertyTest(unittest.TestCase):
    @FIXED
    @given(
        st.integers(0, 10**6),
        st.integers(1, 9),
        st.integers(0, 300),
        st.integers(1, 60),
        st.floats(0.01, 0.6),
        st.integers(20, 200),
    )
    def test_few_crashes_and_no_refused_sound_requests(
        self, seed: int, instances: int, delay_ms: int, first_parts: int, share: float, gap_ms: int
    ) -> None:
        """Guards against more than three crashes later than 3 s after the fifth, and against the rest
        of the traffic being refused for them."""
        fleet = Fleet(seed, instances, delay_ms, first_parts)
        for _ in range(200):  # Sound requests come first, so most first parts are known.
            fleet.send(False)
            fleet.step(20)
        for _ in range(400):
            fleet.send(fleet.rng.random() < share)
            fleet.step(gap_ms)
        later = [at_ms for at_ms in fleet.crashes[5:] if at_ms > fleet.crashes[4] + 3_000]
        self.assertLessEqual(len(later), 3, fleet.crashes)
        self.assertEqual(fleet.refused_sound, 0, f"of {fleet.sound}")


if __name__ == "__main__":
    unittest.main()
