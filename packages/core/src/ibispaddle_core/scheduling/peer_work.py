"""Work that other instances have in flight, as they tell it several times a second."""

from collections.abc import Mapping

from .messages import UpstreamWork

# A peer that has told nothing for this long is gone, and with it the connections of its requests.
EXPIRY_MS = 1_500


class PeerWorkTable:
    """Sum the work of all other instances by upstream."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[int, Mapping[str, UpstreamWork]]] = {}

    def merge(self, instance: str, work: Mapping[str, UpstreamWork], now_ms: int) -> None:
        """Replace what an instance has in flight."""
        self._told[instance] = (now_ms, work)

    def totals(self, now_ms: int) -> dict[str, UpstreamWork]:
        """Return the sums of what was told last."""
        self._told = {
            instance: told for instance, told in self._told.items() if now_ms - told[0] <= EXPIRY_MS
        }
        if len(self._told) == 1:  # One sum for all others, as a hub states it.
            ((_, works),) = self._told.values()
            return dict(works)
        totals: dict[str, UpstreamWork] = {}
        for _, works in self._told.values():
            for upstream_id, work in works.items():
                known = totals.get(upstream_id, UpstreamWork())
                totals[upstream_id] = UpstreamWork(
                    known.prefill_ms + work.prefill_ms,
                    known.requests + work.requests,
                    known.kv_tokens + work.kv_tokens,
                    known.parts + work.parts,
                )
        return totals
