"""Upstreams that state in their responses that they are about to end."""

from collections.abc import Iterable
from dataclasses import replace

from .messages import Upstream, UpstreamState

# Number of remembered upstreams. The oldest ones have ended long before.
MAX_REMEMBERED = 4_096


class DepartureTable:
    """Mark upstreams as leaving although the list still has them as live.

    The mark applies to one process: a process that starts later under the same id gets new work. It is
    kept while the upstream is missing in the list, because entries expire in outages of the platform;
    only if the start of the process is unknown does the entry's removal end it.

    >>> departures = DepartureTable()
    >>> departures.add(Upstream("r1", "dc1", ("m",), boot_ms=5))
    >>> for boot_ms in (5, 6):
    ...     [upstream] = departures.apply([Upstream("r1", "dc1", ("m",), boot_ms=boot_ms)])
    ...     print(upstream.state)
    leaving
    live
    """

    def __init__(self) -> None:
        self._boots_ms: dict[str, int | None] = {}

    def add(self, upstream: Upstream) -> None:
        """Remember that the current process of an upstream is leaving."""
        self._boots_ms.pop(upstream.upstream_id, None)
        self._boots_ms[upstream.upstream_id] = upstream.boot_ms
        while len(self._boots_ms) > MAX_REMEMBERED:
            del self._boots_ms[next(iter(self._boots_ms))]

    def apply(self, upstreams: Iterable[Upstream]) -> tuple[Upstream, ...]:
        """Return the listed upstreams, with those marked that are known to leave."""
        if not self._boots_ms:
            return tuple(upstreams)
        applied = tuple(self._apply(upstream) for upstream in upstreams)
        listed = {upstream.upstream_id for upstream in applied}
        for upstream_id, boot_ms in list(self._boots_ms.items()):
            if boot_ms is None and upstream_id not in listed:
                del self._boots_ms[upstream_id]
        return applied

    def _apply(self, upstream: Upstream) -> Upstream:
        upstream_id = upstream.upstream_id
        if upstream_id not in self._boots_ms:
            return upstream
        if self._boots_ms[upstream_id] != upstream.boot_ms:
            del self._boots_ms[upstream_id]
            return upstream
        if upstream.state is not UpstreamState.LIVE:
            return upstream
        return replace(upstream, state=UpstreamState.LEAVING)
