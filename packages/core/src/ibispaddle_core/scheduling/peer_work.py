"""Work in flight of other instances, which report it several times a second."""

from collections.abc import Mapping

from .messages import UpstreamWork

# A peer without a report for this long is gone, and the connections of its requests are closed.
EXPIRY_MS = 1_500


class PeerWorkTable:
    """Sum the work of all other instances by upstream."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[int, Mapping[str, UpstreamWork]]] = {}
        self._has_new_reports = False  # Since the last totals.
        self._summed_ms = 0

    def merge(self, instance: str, work: Mapping[str, UpstreamWork], now_ms: int) -> None:
        """Replace the work of an instance."""
        self._reports[instance] = (now_ms, work)
        self._has_new_reports = True

    def has_news(self, now_ms: int) -> bool:
        """Return whether reports have arrived or expired since the last totals."""
        return self._has_new_reports or now_ms - self._summed_ms > EXPIRY_MS

    def totals(self, now_ms: int) -> dict[str, UpstreamWork]:
        """Return the totals of the latest reports by upstream."""
        self._has_new_reports, self._summed_ms = False, now_ms
        self._reports = {
            instance: report
            for instance, report in self._reports.items()
            if now_ms - report[0] <= EXPIRY_MS
        }
        if len(self._reports) == 1:  # A hub sends one total for all other instances.
            ((_, works),) = self._reports.values()
            return dict(works)
        totals: dict[str, UpstreamWork] = {}
        for _, works in self._reports.values():
            for upstream_id, work in works.items():
                known = totals.get(upstream_id, UpstreamWork())
                totals[upstream_id] = UpstreamWork(
                    known.prefill_ms + work.prefill_ms,
                    known.requests + work.requests,
                    known.kv_tokens + work.kv_tokens,
                    known.parts + work.parts,
                )
        return totals
