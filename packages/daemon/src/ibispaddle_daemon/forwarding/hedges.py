"""Logs and metrics of hedges: second attempts beside a late first one."""

from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.scheduling import AttemptCounts, HedgeLimit, Scheduler

from ..logs import log_event
from ..metrics import Metrics, escape_label
from .requests import AttemptState, ForwardedRequest


class HedgeReports:
    """Report what becomes of hedges, and how many there are."""

    def __init__(self, scheduler: Scheduler, metrics: Metrics, clock: Clock) -> None:
        self._scheduler, self._metrics, self._clock = scheduler, metrics, clock
        metrics.add_gauge(
            "ibispaddle_hedged_fraction",
            "Hedges per first attempt of this instance since its start.",
            self._hedged_fraction,
        )
        metrics.add_labelled_gauge(
            "ibispaddle_hedge_delay_ratio",
            "Delay after which requests of a class are hedged, as a multiple of the predicted time to first output.",
            lambda: [
                ({"class": escape_label(name)}, ratio)
                for name, ratio in scheduler.hedging.delay_ratios(clock.now_ms()).items()
            ],
        )

    def _hedged_fraction(self) -> float:
        total = sum(self._scheduler.attempt_totals.values(), AttemptCounts())
        return total.hedges / total.first if total.first else 0.0

    def record_start(self, request: ForwardedRequest, attempt: AttemptState, now_ms: int) -> None:
        """Record that a hedge was sent."""
        self._metrics.hedges.inc({"result": "started"})
        log_event(
            logevents.HEDGE_STARTED,
            request=request.caller.attempt_id,
            id=request.request_id,
            upstream=attempt.upstream_id,
            late=[name for name in request.in_flight if name != attempt.upstream_id],
            waited_ms=now_ms - request.req.arrived_ms,
        )

    def record_race(
        self, request: ForwardedRequest, winner: AttemptState, loser: AttemptState
    ) -> None:
        """Record which of two attempts had the first output."""
        self._metrics.hedges.inc({"result": "won" if winner.is_hedge else "lost"})
        log_event(
            logevents.HEDGE_WON if winner.is_hedge else logevents.HEDGE_LOST,
            request=request.caller.attempt_id,
            id=request.request_id,
            upstream=winner.upstream_id,
            cancelled=loser.upstream_id,
            waited_ms=self._clock.now_ms() - request.req.arrived_ms,
        )

    def record_decline(
        self, request: ForwardedRequest, upstream_id: str, limit: HedgeLimit
    ) -> None:
        """Record that a limit ruled out a hedge."""
        self._metrics.declined_hedges.inc({"limit": str(limit)})
        log_event(
            logevents.HEDGE_DECLINED,
            request=request.caller.attempt_id,
            id=request.request_id,
            upstream=upstream_id,
            limit=str(limit),
        )
