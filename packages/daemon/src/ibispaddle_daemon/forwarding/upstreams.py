"""The listed upstreams, and what they state about themselves."""

from collections.abc import Iterable

from ibispaddle_core import logevents
from ibispaddle_core.forwarding import STATUS_MISDIRECTED, ResponseHead
from ibispaddle_core.membership import ListedState, ListEntry, MemberKind
from ibispaddle_core.scheduling import (
    Dispatch,
    Scheduler,
    Upstream,
    UpstreamResponded,
    UpstreamState,
)

from ..logs import log_event
from .codec import Helper


class ListedUpstreams:
    """The upstreams of the last list, with what is needed to call them."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[ListEntry, Upstream]] = {}

    def replace(self, entries: Iterable[ListEntry]) -> tuple[Upstream, ...]:
        """Replace the list and return the upstreams for the scheduler.

        The `Upstream` objects of unchanged entries are reused: a list has up to thousands of entries, and
        few of them change.
        """
        old, self._entries = self._entries, {}
        for entry in entries:
            if entry.kind is MemberKind.ENTRY:
                continue
            cached = old.get(entry.id)
            if cached is None or cached[0] is not entry:
                cached = (entry, _upstream(entry))
            self._entries[entry.id] = cached
        return tuple(upstream for _, upstream in self._entries.values())

    def data_centres(self) -> set[str]:
        """Return the data centres of the listed upstreams."""
        return {upstream.data_centre for _, upstream in self._entries.values()}

    def address(self, upstream_id: str) -> str:
        """Return the address of an upstream, or an empty string if it is not listed."""
        item = self._entries.get(upstream_id)
        return item[0].address if item is not None else ""

    def base_url(self, upstream_id: str) -> str:
        """Return the URL of an upstream's own interface."""
        return f"http://{self.address(upstream_id)}"

    def helpers(self, decision: Dispatch) -> tuple[Helper, ...]:
        """Return the upstreams that hold memory for a prompt or prefill a part of it."""
        holders = zip(decision.segment_upstream_ids, decision.segments, strict=True)
        return (
            *(Helper(self.address(member), handle) for member, handle in holders),
            *(Helper(self.address(name)) for name in decision.helper_ids),
        )

    def boot_ms(self, upstream_id: str) -> int | None:
        """Return the start of an upstream, if it is known."""
        item = self._entries.get(upstream_id)
        return item[0].boot_ms if item is not None else None

    def upstream_at(self, address: str | None) -> str | None:
        """Return the id of the upstream with an address, or None."""
        if address is None:
            return None
        entries = self._entries.items()
        return next((name for name, (entry, _) in entries if entry.address == address), None)


def read_statement(
    scheduler: Scheduler, upstream_id: str, head: ResponseHead
) -> UpstreamResponded | None:
    """Return what an upstream states about itself in the head of a response, if that is new."""
    if head.is_for_other_request or head.status == STATUS_MISDIRECTED:
        return None  # Another upstream may have sent it.
    has_statement = head.limit_per_s is not None or head.is_leaving or head.retry_after_ms > 0
    has_statement |= head.cold_remaining_ms is not None
    if not has_statement and not scheduler.pacing.is_limited(upstream_id):
        return None
    if head.is_leaving and is_in_use(scheduler, upstream_id):
        log_event(logevents.UPSTREAM_LEAVING, upstream=upstream_id, state="stated")
    return UpstreamResponded(
        upstream_id,
        head.limit_per_s,
        head.is_leaving,
        head.retry_after_ms,
        head.cold_remaining_ms,
    )


def is_in_use(scheduler: Scheduler, upstream_id: str) -> bool:
    """Return whether an upstream is not about to end; an evacuation does not end its process."""
    view = scheduler.runners.views.get(upstream_id)
    is_evacuated = scheduler.evacuations.is_marked(upstream_id)
    return view is not None and (view.live or is_evacuated)


def _upstream(entry: ListEntry) -> Upstream:
    is_live = entry.state is ListedState.LIVE
    state = UpstreamState.LIVE if is_live else UpstreamState.LEAVING
    return Upstream(
        entry.id, entry.data_centre, entry.models, state, entry.boot_ms, entry.cold_until_ms
    )
