"""Memory that an instance may hold for slow callers and upstreams, and who is given up first."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..settings.instance import InstanceSettings

MEGABYTE = 1_000_000
# Memory of an instance whose settings state none.
DEFAULT_MEMORY_BYTES = 1_600 * MEGABYTE
# Fractions of an instance's memory. The rest is for the process itself, its tables and what the kernel holds.
UNREAD_RESPONSES_FRACTION = 0.18
REQUEST_BODIES_FRACTION = 0.14
REQUEST_HEADS_FRACTION = 0.04
INCOMPLETE_RESPONSES_FRACTION = 0.10
BUFFERED_CALLS_FRACTION = 0.20
# More is of no use, whatever the memory: the largest call is a page of the store, and responses that are
# buffered until they are complete have kilobytes.
MAX_INCOMPLETE_RESPONSES_BYTES = 33_554_432
MAX_BUFFERED_CALLS_BYTES = 50_331_648

# What the kernel may hold of a response whose reading is paused.
PAUSED_CALL_BYTES = 32_768
# What is read from an upstream at once.
READ_BYTES = 65_536
# Fraction of the room that is left which one response may take before reading from its upstream is paused. The
# fraction leaves two reads of its response to each of 200 slow callers of an instance with 200 MB.
ROOM_FRACTION = 1 / 128
# Fractions of a caller's limit of unread data at which reading is paused and resumed.
PAUSE_FRACTION = 0.5
RESUME_FRACTION = 0.25
# Fraction of the budget that is freed beyond the excess by giving up further callers that do not read.
SPARE_FRACTION = 0.1
# A caller that has read something within this time is a reading one.
READING_MS = 1_000
# Time without reading after which a caller is given up while its upstream waits for it. Upstreams cut off responses
# after some seconds, and meanwhile hold a slot and the request's memory.
UNREAD_TIMEOUT_MS = 5_000
# The same if its upstream has already completed the response.
COMPLETED_UNREAD_TIMEOUT_MS = 30_000
# Shortest pause that may be the reason why an upstream cuts off a response.
MIN_CUT_PAUSE_MS = 500
# Time after a pause within which a cut that happened in it is noticed.
CUT_NOTICE_MS = 1_000


@dataclass(frozen=True)
class MemoryBudget:
    """Maximum number of bytes that an instance holds, by kind.

    >>> MemoryBudget.from_memory(200 * MEGABYTE).request_bodies
    28000000
    """

    unread_responses: int
    request_bodies: int
    request_heads: int
    incomplete_responses: int
    buffered_calls: int

    @classmethod
    def from_memory(
        cls,
        memory_bytes: int | None = None,
        unread_responses: int | None = None,
        request_bodies: int | None = None,
    ) -> "MemoryBudget":
        """Return the shares of an instance's memory; stated sizes replace the shares."""
        memory = memory_bytes or DEFAULT_MEMORY_BYTES
        budget = cls(
            unread_responses=int(UNREAD_RESPONSES_FRACTION * memory),
            request_bodies=int(REQUEST_BODIES_FRACTION * memory),
            request_heads=int(REQUEST_HEADS_FRACTION * memory),
            incomplete_responses=min(
                MAX_INCOMPLETE_RESPONSES_BYTES, int(INCOMPLETE_RESPONSES_FRACTION * memory)
            ),
            buffered_calls=min(MAX_BUFFERED_CALLS_BYTES, int(BUFFERED_CALLS_FRACTION * memory)),
        )
        if unread_responses is not None:
            budget = replace(budget, unread_responses=unread_responses)
        if request_bodies is not None:
            budget = replace(budget, request_bodies=request_bodies)
        return budget

    @classmethod
    def from_settings(cls, settings: InstanceSettings) -> "MemoryBudget":
        """Return the budget of an instance."""
        return cls.from_memory(
            settings.memory_mb * MEGABYTE if settings.memory_mb is not None else None,
            settings.max_unread_response_bytes,
            settings.max_request_body_bytes,
        )

    def room(self, unread_bytes: int, paused_calls: int) -> int:
        """Return how many more bytes of unread responses fit."""
        return self.unread_responses - unread_bytes - paused_calls * PAUSED_CALL_BYTES


def pause_limit(max_unsent_bytes: int, room: int) -> float:
    """Return the unread bytes of a caller above which reading from its upstream is paused.

    A read may exceed the limit, so the room for one is subtracted.

    >>> pause_limit(262_144, room=36_000_000), pause_limit(262_144, room=12_000_000)
    (131072.0, 28214.0)
    """
    return min(PAUSE_FRACTION * max_unsent_bytes, max(0.0, ROOM_FRACTION * room - READ_BYTES))


def resume_limit(max_unsent_bytes: int, room: int) -> float:
    """Return the unread bytes of a caller up to which reading from its upstream is resumed."""
    return pause_limit(max_unsent_bytes, room) * RESUME_FRACTION / PAUSE_FRACTION


@dataclass(frozen=True)
class SlowPeer:
    """A caller for which data is held: a response that it reads, or a request that it sends."""

    name: int
    held_bytes: int
    progress_ms: int  # Time at which it read or sent something last.
    is_upstream_waiting: bool = False  # Reading from the upstream is paused because of it.


def callers_to_give_up(
    callers: Iterable[SlowPeer], excess_bytes: int, now_ms: int, spare_bytes: int = 0
) -> list[int]:
    """Return the callers to give up, in order, so that at least `excess_bytes` become free.

    Those that have read nothing for the longest time go first, of equal ones those that hold most. Callers
    that read are given up only if that isn't enough; then those that hold most go first. `spare_bytes` more
    are freed as far as callers that do not read hold them.

    >>> callers = [SlowPeer(1, 50, 9_900), SlowPeer(2, 20, 4_000), SlowPeer(3, 30, 4_100)]
    >>> callers_to_give_up(callers, 20, now_ms=10_000), callers_to_give_up(callers, 60, now_ms=10_000)
    ([2], [2, 3, 1])
    """

    def rank(caller: SlowPeer) -> tuple[int, int]:
        # Times are compared in steps of `READING_MS`, and all that read are equal.
        return -((now_ms - caller.progress_ms) // READING_MS), -caller.held_bytes

    chosen = []
    for caller in sorted(callers, key=rank):
        is_reading = now_ms - caller.progress_ms < READING_MS
        if excess_bytes <= (0 if is_reading else -spare_bytes):
            break
        chosen.append(caller.name)
        excess_bytes -= caller.held_bytes
    return chosen


def senders_to_give_up(senders: Iterable[SlowPeer], needed_bytes: int, now_ms: int) -> list[int]:
    """Return the callers whose incomplete requests make room for `needed_bytes`, or none.

    Only those that have sent nothing lately are given up for a new request, and only if that is enough.

    >>> senders = [SlowPeer(1, 50, 9_900), SlowPeer(2, 20, 4_000), SlowPeer(3, 30, 4_100)]
    >>> senders_to_give_up(senders, 40, now_ms=10_000), senders_to_give_up(senders, 60, now_ms=10_000)
    ([2, 3], [])
    """
    idle = [sender for sender in senders if now_ms - sender.progress_ms >= READING_MS]
    if sum(sender.held_bytes for sender in idle) < needed_bytes:
        return []
    return callers_to_give_up(idle, needed_bytes, now_ms)


def has_stopped_reading(caller: SlowPeer, now_ms: int) -> bool:
    """Return whether a caller has read nothing for so long that its request is ended.

    >>> has_stopped_reading(SlowPeer(1, 50, 0, is_upstream_waiting=True), now_ms=6_000)
    True
    >>> has_stopped_reading(SlowPeer(1, 50, 0), now_ms=6_000)
    False
    """
    limit_ms = UNREAD_TIMEOUT_MS if caller.is_upstream_waiting else COMPLETED_UNREAD_TIMEOUT_MS
    return now_ms - caller.progress_ms >= limit_ms


@dataclass(frozen=True)
class Pauses:
    """The last pauses of reading a response; pauses that follow each other closely count as one.

    >>> pauses = Pauses().paused(1_000).resumed(4_000)
    >>> pauses.may_have_caused_cut(4_010), pauses.may_have_caused_cut(6_000)
    (True, False)
    """

    began_ms: int | None = None
    ended_ms: int | None = None

    def paused(self, now_ms: int) -> "Pauses":
        """Return the pauses after reading was paused."""
        if self.ended_ms is not None and now_ms - self.ended_ms < CUT_NOTICE_MS:
            return Pauses(self.began_ms)
        return Pauses(now_ms)

    def resumed(self, now_ms: int) -> "Pauses":
        """Return the pauses after reading was resumed."""
        return replace(self, ended_ms=now_ms)

    def may_have_caused_cut(self, now_ms: int) -> bool:
        """Return whether the upstream may have cut off the response because nobody read it."""
        if self.began_ms is None:
            return False
        ended_ms = self.ended_ms if self.ended_ms is not None else now_ms
        is_long = ended_ms - self.began_ms >= MIN_CUT_PAUSE_MS
        return is_long and now_ms - ended_ms < CUT_NOTICE_MS
