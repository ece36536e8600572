"""Memory reservations for prompts that are divided among engines.

Reservations are made in ascending order of runner id, and an instance keeps its granted ones while a
runner refuses. The total order rules out a deadlock between instances.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..identifiers import digest
from .messages import (
    Decision,
    FreeMemory,
    Request,
    ReservationAnswered,
    ReservationOutcome,
    ReservationRenewed,
    ReserveMemory,
    WaitingPrompt,
)
from .requests import RequestState
from .reservation_pace import pause_ms
from .runners import RunnerTable, RunnerView

# Begins the handles of all instances.
HANDLE_PREFIX = "ir-"
# Bounds the gossip entry. Runners beyond the bound are not protected from younger prompts.
MAX_GOSSIPED = 5
# Covers the difference between the wall clocks of instances; see the design page.
HANDLE_GRACE_MS = 5_000
# A reservation without an answer is sent again. The request is idempotent by handle.
ANSWER_TIMEOUT_MS = 1_000
# Time until a reservation that the instance's budget delayed is tried again.
BUDGET_RETRY_MS = 500
# A runner that answers so has reserved nothing.
_PROVED_NOT_RESERVED = (
    ReservationOutcome.NO_ROOM,
    ReservationOutcome.INVALID,
    ReservationOutcome.WRONG_UPSTREAM,
    ReservationOutcome.NOT_SENT,
)


@dataclass(slots=True)
class Segment:
    """Hold the reservation of one segment of a divided prompt."""

    upstream_id: str
    handle: str
    tokens: int
    requested: bool = False  # The runner may have reserved the memory.
    unanswered: int = 0  # Reservations that were sent and have no answer.
    refusals: int = 0  # In a row.
    is_repeated: bool = False  # Sent again because the answer was lost.
    granted: bool = False
    unconfirmed_renewals: int = 0  # Since the runner last granted the memory.
    claimed: bool = False  # Returned by `take_unclaimed`, for a claim on the runner's memory.


@dataclass(slots=True)
class PromptReservation:
    """Hold the reservations of one divided prompt."""

    state: RequestState
    segments: list[Segment]
    retry_ms: int
    started_ms: int
    is_parallel: bool = False  # All reservations are sent at once.

    @property
    def complete(self) -> bool:
        """Return whether the memory of every segment has been granted."""
        return all(segment.granted for segment in self.segments)


class PromptReservations:
    """Manage the reservations of all divided prompts of this instance."""

    def __init__(self, runners: RunnerTable, instance_boot: str, wall_offset_ms: int) -> None:
        self._runners = runners
        # Engines bound the length of handles, and instances have names of any length.
        self._owner = f"{HANDLE_PREFIX}{digest(instance_boot)}"
        self._wall_offset_ms = wall_offset_ms
        self._prompts: dict[str, PromptReservation] = {}
        # Part of each handle, so that a repeated free of an old one cannot free a retry's memory.
        self._generation = 0

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._prompts

    def group(self, request_id: str) -> list[str]:
        """Return the ids of the runners in the request's group, in id order."""
        return [segment.upstream_id for segment in self._prompts[request_id].segments]

    def start(
        self,
        state: RequestState,
        group: list[RunnerView],
        tokens: int,
        now_ms: int,
        prefill_ms: float = 0.0,
        is_parallel: bool = False,
    ) -> None:
        """Start to reserve memory for a prompt on the runners of a group, given in id order.

        `prefill_ms` is announced at each runner. With `is_parallel`, all reservations are sent at
        once. The scheduler must then release the whole group when one is refused, because two
        instances could otherwise deadlock.
        """
        expiry_ms = state.req.deadline_ms + self._wall_offset_ms + HANDLE_GRACE_MS
        self._generation += 1
        prefix = f"{self._owner}-{digest(state.req.request_id)}-{self._generation}"
        segment_tokens, rest = divmod(tokens, len(group))
        segments = [
            Segment(
                view.upstream.upstream_id,
                f"{prefix}.{number}-{expiry_ms}",
                segment_tokens + (number < rest),
            )
            for number, view in enumerate(group)
        ]
        for view, segment in zip(group, segments, strict=True):
            view.reserve(segment.handle, segment.tokens)
            view.announce_prefill(segment.handle, prefill_ms)
        prompt = PromptReservation(state, segments, now_ms, now_ms, is_parallel)
        self._prompts[state.req.request_id] = prompt

    def take_unclaimed(self, before_ms: int) -> list[tuple[str, str, int]]:
        """Return the request id, runner id and tokens of segments that have waited since `before_ms`.

        Each segment is returned once.
        """
        result = []
        for request_id, prompt in self._prompts.items():
            if prompt.started_ms <= before_ms and not prompt.complete:
                for segment in prompt.segments:
                    if not segment.granted and not segment.claimed:
                        segment.claimed = True
                        result.append((request_id, segment.upstream_id, segment.tokens))
        return result

    def send_due(
        self, now_ms: int, may_repeat: Callable[[], bool] = lambda: True
    ) -> list[Decision]:
        """Send the reservations that are due.

        `may_repeat` is called before each reservation that is sent by itself, not with its group.
        """
        decisions: list[Decision] = []
        for request_id, prompt in self._prompts.items():
            if prompt.complete or prompt.retry_ms > now_ms:
                continue
            sent = len(decisions)
            due = [segment for segment in prompt.segments if not segment.granted]
            for segment in due if prompt.is_parallel else due[:1]:
                is_first = prompt.is_parallel and not segment.requested
                if not is_first and not may_repeat():
                    continue
                segment.requested = True
                segment.unanswered += 1
                decisions.append(
                    ReserveMemory(request_id, segment.upstream_id, segment.handle, segment.tokens)
                )
            is_sent = len(decisions) > sent
            prompt.retry_ms = now_ms + (ANSWER_TIMEOUT_MS if is_sent else BUDGET_RETRY_MS)
        return decisions

    def is_waiting_for(self, request_id: str, handle: str) -> bool:
        """Return whether the request's present group waits for the grant of a handle."""
        prompt = self._prompts.get(request_id)
        segments = prompt.segments if prompt is not None else ()
        return any(item.handle == handle and not item.granted for item in segments)

    def repeat(self, request_id: str, handle: str) -> ReserveMemory | None:
        """Return a reservation whose answer was lost, or None if it has been repeated before.

        The same handle reserves nothing twice, and the other runners of the group keep their memory.
        """
        for segment in self._prompts[request_id].segments:
            if segment.handle == handle and not segment.is_repeated:
                segment.is_repeated = True
                segment.unanswered += 1
                return ReserveMemory(request_id, segment.upstream_id, handle, segment.tokens)
        return None

    def handle_answer(self, event: ReservationAnswered, now_ms: int) -> tuple[list[Decision], bool]:
        """Process an answer and return decisions and whether the prompt is ready to run."""
        prompt = self._prompts.get(event.request_id)
        segment = None
        if prompt is not None:
            segment = next((s for s in prompt.segments if s.handle == event.handle), None)
        if prompt is None or segment is None:
            # The request or its group has ended, so the memory of a late grant is freed at once.
            if event.granted:
                return [FreeMemory(event.upstream_id, event.handle)], False
            return [], False
        if segment.granted:
            return [], False
        if not event.granted:
            segment.refusals += 1
            prompt.retry_ms = now_ms + pause_ms(segment.refusals)
            if event.outcome in _PROVED_NOT_RESERVED and segment.unanswered > 0:
                segment.unanswered -= 1
                segment.requested = segment.unanswered > 0
            return [], False
        segment.granted, segment.refusals = True, 0
        if (view := self._runners.views.get(segment.upstream_id)) is not None:
            view.reserve(segment.handle, segment.tokens, now_ms)
        if not prompt.is_parallel:
            prompt.retry_ms = now_ms
        return [], prompt.complete

    def record_renewal(self, event: ReservationRenewed) -> None:
        """Record whether a runner granted the renewal of a reservation."""
        prompt = self._prompts.get(event.request_id)
        for segment in prompt.segments if prompt is not None else ():
            if segment.handle == event.handle:
                count = segment.unconfirmed_renewals + 1
                segment.unconfirmed_renewals = 0 if event.is_confirmed else count

    def unconfirmed_renewals(self, request_id: str, upstream_id: str) -> int:
        """Return how many renewals a runner of the request's group has not granted since the last."""
        prompt = self._prompts.get(request_id)
        for segment in prompt.segments if prompt is not None else ():
            if segment.upstream_id == upstream_id:
                return segment.unconfirmed_renewals
        return 0

    def handles(self, request_id: str) -> tuple[str, ...]:
        """Return the handles of the request in prompt order."""
        return tuple(segment.handle for segment in self._prompts[request_id].segments)

    def free(self, request_id: str) -> list[Decision]:
        """Free every reservation that was requested, whether answered or not.

        The group is kept until `release`, because the end of the request's attempt refers to it.
        """
        prompt = self._prompts.get(request_id)
        if prompt is None:
            return []
        decisions: list[Decision] = []
        for segment in prompt.segments:
            if (view := self._runners.views.get(segment.upstream_id)) is not None:
                view.release(segment.handle)
            if segment.requested:
                segment.requested = False
                decisions.append(FreeMemory(segment.upstream_id, segment.handle))
        return decisions

    def release(self, request_id: str) -> list[Decision]:
        """Free the request's reservations and remove its group."""
        decisions = self.free(request_id)
        self._prompts.pop(request_id, None)
        return decisions

    def requests_using(self, unusable: Callable[[str], bool]) -> list[str]:
        """Return the requests with a segment on a runner for which `unusable` returns true."""
        return [
            request_id
            for request_id, prompt in self._prompts.items()
            if any(unusable(segment.upstream_id) for segment in prompt.segments)
        ]

    def reserving(self) -> list[WaitingPrompt]:
        """Return the prompts of this instance with reservations that are not complete."""
        return [
            self.describe_waiting(prompt.state.req, self.group(request_id))
            for request_id, prompt in self._prompts.items()
            if not prompt.complete
        ]

    def describe_waiting(self, req: Request, group: Sequence[str]) -> WaitingPrompt:
        """Return the gossip description of a prompt that waits for a group."""
        arrived_wall_ms = req.arrived_ms + self._wall_offset_ms
        return WaitingPrompt(arrived_wall_ms, req.request_id, tuple(group[:MAX_GOSSIPED]))

    def next_wakeup_ms(self) -> int | None:
        """Return when the next reservation is due."""
        times = [p.retry_ms for p in self._prompts.values() if not p.complete]
        return min(times, default=None)
