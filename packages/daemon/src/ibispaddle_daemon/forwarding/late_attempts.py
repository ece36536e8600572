"""Reports of late attempts to the scheduler, which may replace or hedge them."""

from collections.abc import Callable

from ibispaddle_core.scheduling import AttemptDelayed, AttemptSilent, Event, HedgeLimit

from .hedges import HedgeReports
from .part_guard import PartGuard
from .requests import AttemptState, ForwardedRequest


class LateAttempts:
    """Report late attempts once the attempt counts of the other instances are recent.

    `refresh` fetches the counts and calls its first argument; its second one is the service.
    """

    def __init__(
        self,
        refresh: Callable[[Callable[[], None], str], None],
        handle_event: Callable[[Event], None],
        part_guard: PartGuard,
        hedge_reports: HedgeReports,
        is_draining: Callable[[], bool],
    ) -> None:
        self._refresh, self._handle_event = refresh, handle_event
        self._part_guard, self._hedge_reports = part_guard, hedge_reports
        self._is_draining = is_draining

    def report_silence(
        self, request: ForwardedRequest, attempt: AttemptState, has_output: bool
    ) -> None:
        """Report an attempt that has had no output for so long that another upstream may do better."""
        event = AttemptSilent(request.request_id, attempt.upstream_id, has_output)
        last_event_ms = attempt.last_event_ms

        def report() -> None:
            if attempt.last_event_ms == last_event_ms:  # No event has arrived meanwhile.
                self._handle_event(event)

        self._refresh(report, request.req.model)

    def report_delay(self, request: ForwardedRequest, attempt: AttemptState) -> None:
        """Report an attempt that may be hedged, unless the instance itself rules that out."""
        upstream_id = attempt.upstream_id
        limit = None
        if self._is_draining():
            limit = HedgeLimit.DRAINING
        elif self._part_guard.is_suspected(request):
            limit = HedgeLimit.SUSPECTED
        if limit is not None:
            self._hedge_reports.record_decline(request, upstream_id, limit)
            return

        def report() -> None:
            if attempt.cancel is not None and not request.is_response_started:
                self._handle_event(AttemptDelayed(request.request_id, upstream_id))

        self._refresh(report, request.req.model)
