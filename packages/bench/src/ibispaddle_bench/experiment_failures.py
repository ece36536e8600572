"""Fault injection for the experiment: failing attempts, and callers that resend after an error."""

from dataclasses import dataclass, replace
from random import Random

from .workload import Arrival

# Initial back-off after an error without Retry-After; doubled with each resend.
BACKOFF_MS = 500.0
JITTER = 0.25


@dataclass(frozen=True)
class FailingPeriod:
    """A period in which some engines reject or fail a fraction of their attempts."""

    from_ms: float
    to_ms: float
    engines: tuple[int, ...]
    reject_probability: float  # Rejected immediately, without running.
    fail_probability: float  # Failed after the prefill, before the first token.


class FailureInjector:
    """Choose at random which attempts fail."""

    def __init__(self, seed: int, periods: list[FailingPeriod], engines: list[str]) -> None:
        self._rng = Random(f"failures/{seed}")
        self._periods = [(p, {engines[index] for index in p.engines}) for p in periods]

    def draw_failure(self, engine_id: str, now_ms: float) -> str | None:
        """Return `rejected`, `failed` or None as the fault of an attempt at an engine."""
        for period, engines in self._periods:
            if period.from_ms <= now_ms < period.to_ms and engine_id in engines:
                draw = self._rng.random()
                if draw < period.reject_probability:
                    return "rejected"
                if draw < period.reject_probability + period.fail_probability:
                    return "failed"
        return None


class ResendPolicy:
    """Simulate callers that resend a request after an error, up to a limit."""

    def __init__(self, seed: int, limit: int) -> None:
        self._rng = Random(f"resends/{seed}")
        self._limit = limit

    def resend(
        self, arrival: Arrival, copy_number: int, retry_after_ms: int, now_ms: float
    ) -> Arrival | None:
        """Return the arrival of the next copy of the request, or None if the limit is reached."""
        if copy_number >= self._limit:
            return None
        wait_ms = float(retry_after_ms) or BACKOFF_MS * 2**copy_number
        at_ms = now_ms + wait_ms * (1 + JITTER * self._rng.random())
        request = arrival.request
        request = replace(
            request,
            request_id=f"{request.request_id.partition('~')[0]}~{copy_number + 1}",
            arrived_ms=int(at_ms),
            deadline_ms=int(at_ms) + request.deadline_ms - request.arrived_ms,
        )
        return replace(arrival, at_ms=at_ms, request=request)
