"""Bounds on the reservations that prompts and instances send.

Any refusal may last, and many instances may get it at the same time. A prompt therefore waits longer
after each group that it did not get, and an instance sends few reservations that are not granted.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from .messages import RefusalReason, ReservationOutcome

# Pause of a prompt after its first group that was refused; doubled after each further one.
FIRST_PAUSE_MS = 100
MAX_PAUSE_MS = 1_600
# Groups after which a prompt is refused. Their pauses add up to nearly 10 s.
MAX_GROUPS = 10
# Upstreams that rejected a prompt's reservation as invalid, after which the prompt is refused. One
# upstream may differ from the others.
MAX_INVALID_UPSTREAMS = 2
# Reservations that an instance may send at once without a grant. More than the largest group needs.
BUDGET = 64
# Reservations a second that it may send beyond, however many are refused.
BUDGET_PER_S = 1.0


def pause_ms(refusals: int) -> int:
    """Return the pause after a number of refusals in a row.

    >>> [pause_ms(number) for number in (1, 2, 3, 9)]
    [100, 200, 400, 1600]
    """
    return min(MAX_PAUSE_MS, FIRST_PAUSE_MS << min(max(refusals, 1) - 1, 10))


@dataclass(slots=True)
class _PromptRecord:
    groups: int = 0  # Groups that were not granted.
    not_before_ms: int = 0
    invalid_at: set[str] = field(default_factory=set)
    failed_at: set[str] = field(default_factory=set)


class ReservationPace:
    """Hold the pauses of prompts and the budget of the instance.

    A reservation takes one unit of the budget, and a granted one gives it back, so that the rate of
    reservations follows the memory that is granted.
    """

    def __init__(self) -> None:
        self._prompts: dict[str, _PromptRecord] = {}
        self._budget = float(BUDGET)
        self._budget_ms = 0
        self.held_back = 0  # Times at which the budget delayed a reservation.

    def may_start(self, request_id: str, now_ms: int) -> bool:
        """Return whether the pause of a prompt is over."""
        record = self._prompts.get(request_id)
        return record is None or now_ms >= record.not_before_ms

    def invalid_at(self, request_id: str) -> Collection[str]:
        """Return the upstreams that can never grant the prompt's reservations."""
        record = self._prompts.get(request_id)
        return record.invalid_at if record is not None else ()

    def failed_at(self, request_id: str) -> Collection[str]:
        """Return the upstreams that did not grant the prompt's memory."""
        record = self._prompts.get(request_id)
        return record.failed_at if record is not None else ()

    def try_take(self, count: int, now_ms: int) -> bool:
        """Take reservations from the budget, or return false if it has too few."""
        added = max(0, now_ms - self._budget_ms) * BUDGET_PER_S / 1_000
        self._budget = min(float(BUDGET), self._budget + added)
        self._budget_ms = now_ms
        if self._budget < count:
            self.held_back += 1
            return False
        self._budget -= count
        return True

    def give_back(self) -> None:
        """Return the reservation of a grant to the budget."""
        self._budget = min(float(BUDGET), self._budget + 1)

    def record_failure(self, request_id: str, upstream_id: str) -> None:
        """Record that an upstream did not grant memory for a prompt, whatever the reason.

        Groups are chosen among runners that should have room. One that refuses is leaving, or is not
        known well enough, and is likely to refuse again.
        """
        self._prompts.setdefault(request_id, _PromptRecord()).failed_at.add(upstream_id)

    def record_refusal(
        self, request_id: str, upstream_id: str, outcome: ReservationOutcome, now_ms: int
    ) -> RefusalReason | None:
        """Record that a prompt did not get its group, and return why it must be refused, if so."""
        record = self._prompts.setdefault(request_id, _PromptRecord())
        record.groups += 1
        if outcome is ReservationOutcome.INVALID:
            # Another upstream may take it at once.
            record.invalid_at.add(upstream_id)
            if len(record.invalid_at) >= MAX_INVALID_UPSTREAMS:
                return RefusalReason.MEMORY_INVALID
        else:
            record.not_before_ms = now_ms + pause_ms(record.groups)
        return RefusalReason.NO_MEMORY if record.groups >= MAX_GROUPS else None

    def discard(self, request_id: str) -> None:
        """Remove a prompt that has ended."""
        self._prompts.pop(request_id, None)
