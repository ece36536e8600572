"""Data centres that operators evacuate: their upstreams finish what they have and get no new work."""

from collections.abc import Collection, Iterable
from dataclasses import replace

from .messages import Request, Upstream, UpstreamState
from .runners import RunnerView

# Retry-After time of requests that only upstreams of evacuated data centres could serve. Evacuations last
# for minutes, but a caller that returns much later would miss the end of a short one.
EVACUATED_RETRY_AFTER_MS = 5_000


class EvacuationTable:
    """Mark the upstreams of evacuated data centres as leaving.

    Only upstreams that would get work otherwise are marked, so that the end of the evacuation changes
    nothing about one that leaves or is down.

    >>> table = EvacuationTable()
    >>> table.replace(frozenset({"dc1"}))
    True
    >>> listed = [Upstream("r1", "dc1", ("m",)), Upstream("r2", "dc2", ("m",))]
    >>> [str(upstream.state) for upstream in table.apply(listed)]
    ['leaving', 'live']
    """

    def __init__(self) -> None:
        self._data_centres: frozenset[str] = frozenset()
        self._marked: dict[str, Upstream] = {}

    def replace(self, data_centres: frozenset[str]) -> bool:
        """Replace the evacuated data centres and return whether they have changed."""
        is_changed = data_centres != self._data_centres
        self._data_centres = data_centres
        return is_changed

    def apply(self, upstreams: Iterable[Upstream]) -> tuple[Upstream, ...]:
        """Return the upstreams, with those marked that must not get new work."""
        upstreams = tuple(upstreams)
        self._marked = {}
        if not self._data_centres:
            return upstreams
        return tuple(self._apply(upstream) for upstream in upstreams)

    def _apply(self, upstream: Upstream) -> Upstream:
        is_evacuated = upstream.data_centre in self._data_centres
        if not is_evacuated or upstream.state is not UpstreamState.LIVE:
            return upstream
        marked = replace(upstream, state=UpstreamState.LEAVING)
        self._marked[upstream.upstream_id] = marked
        return marked

    def is_marked(self, upstream_id: str) -> bool:
        """Return whether an upstream gets no new work only because of an evacuation."""
        return upstream_id in self._marked

    def count_withheld(self, req: Request) -> int:
        """Return the number of upstreams that could serve the request if they were not marked."""
        return sum(
            req.model in upstream.models
            and (req.data_centres is None or upstream.data_centre in req.data_centres)
            for upstream in self._marked.values()
        )


def count_running(views: Iterable[RunnerView], data_centres: Collection[str]) -> int:
    """Return the requests of this instance that run at upstreams of data centres, parts included."""
    return len(
        {
            request_id
            for view in views
            if view.sent and view.upstream.data_centre in data_centres
            for request_id in view.sent
        }
    )
