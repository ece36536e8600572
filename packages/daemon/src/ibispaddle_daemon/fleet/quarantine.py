"""Exchange of the quarantine's changes between instances and hubs.

The changes are sent along with the queries for the work in flight, so an instance knows what the others
have seen when it selects an upstream. Urgent ones are also pushed to the hubs. Neither needs the store.
"""

import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from ibispaddle_core.clock import Clock
from ibispaddle_core.hubs import HubRanking
from ibispaddle_core.quarantine import PartChange

from ..forwarding import PartGuard
from ..timers import TimerQueue
from .links import FleetLinks
from .messages import Cursor, QuarantineReply, QuarantineUpdate

# Delay in which changes are collected before they are pushed, and before they are pushed again.
PUSH_DELAY_MS = 20
PUSH_RETRY_MS = 200
# Pushes of a change; after them it is only sent along with queries.
MAX_PUSHES = 10

_Changes = tuple[PartChange, ...]


@dataclass
class _Hub:
    """What a hub is known to have received from this instance, and this instance from it."""

    cursor: Cursor | None = None
    acknowledged: int = 0  # Number of the last own change that the hub has received.
    query_id: int = 0
    queried: int = 0  # Number of the last own change in the query with this id.


class QuarantineExchange:
    """Keep the part guards of all instances in the same state."""

    def __init__(
        self,
        guard: PartGuard,
        ranking: HubRanking,
        links: FleetLinks,
        clock: Clock,
        timers: TimerQueue,
        instance_id: str,
    ) -> None:
        self._guard, self._ranking, self._links = guard, ranking, links
        self._clock, self._timers, self._instance_id = clock, timers, instance_id
        self._boot = secrets.randbits(53)
        self._hubs: dict[str, _Hub] = {}
        self._query_ids = itertools.count(1)
        self._pushes_left = 0
        self._is_push_scheduled = False
        links.receivers[QuarantineUpdate] = self._on_update
        links.receivers[QuarantineReply] = self._on_reply
        guard.on_changed = self._on_changed

    def set_refresh(self, refresh: Callable[[Callable[[], None]], None]) -> None:
        """Set the function that fetches the changes of the others before a decision."""
        self._guard.before_decision = refresh

    # Pushes

    def _on_changed(self) -> None:
        self._pushes_left = MAX_PUSHES
        self._schedule_push(PUSH_DELAY_MS)

    def _schedule_push(self, delay_ms: int) -> None:
        if not self._is_push_scheduled:
            self._is_push_scheduled = True
            self._timers.after(delay_ms, self._push)

    def _push(self) -> None:
        """Send the changes to the hubs that have not acknowledged them."""
        self._is_push_scheduled = False
        hubs = [name for name in self._ranking.hubs(self._clock.now_ms()) if self._is_behind(name)]
        for hub_id in hubs:
            query_id, changes, cursor = self.query(hub_id)
            self._links.send(hub_id, QuarantineUpdate(query_id, changes, cursor))
        self._pushes_left -= 1
        if hubs and self._pushes_left > 0:
            self._schedule_push(PUSH_RETRY_MS)

    def _is_behind(self, hub_id: str) -> bool:
        acknowledged = self._hubs.setdefault(hub_id, _Hub()).acknowledged
        return hub_id != self._instance_id and acknowledged < self._guard.registry.sequence

    def _on_update(self, instance_id: str, message: QuarantineUpdate) -> None:
        changes, cursor = self.respond(message.changes, message.cursor)
        self._links.answer(instance_id, QuarantineReply(message.query_id, changes, cursor))

    def _on_reply(self, instance_id: str, message: QuarantineReply) -> None:
        self.apply_response(instance_id, message.query_id, message.changes, message.cursor)

    # Queries of this instance

    def query(self, hub_id: str) -> tuple[int, _Changes, Cursor | None]:
        """Return the id, the changes and the cursor for a query."""
        hub = self._hubs.setdefault(hub_id, _Hub())
        hub.query_id = next(self._query_ids)
        hub.queried, changes = self._guard.registry.changes_since(hub.acknowledged)
        return hub.query_id, changes, hub.cursor

    def apply_response(
        self, hub_id: str, query_id: int, changes: _Changes, cursor: Cursor | None
    ) -> None:
        """Apply the changes in a hub's response to the query with this id."""
        if cursor is None:
            return
        hub = self._hubs.setdefault(hub_id, _Hub())
        if hub.cursor is not None and hub.cursor[0] != cursor[0]:
            hub.acknowledged = 0  # The hub was restarted and has lost what it had been sent.
        elif hub.query_id == query_id:
            hub.acknowledged = max(hub.acknowledged, hub.queried)
        hub.cursor = cursor
        registry = self._guard.registry
        knows_all = hub.acknowledged == registry.sequence
        self._guard.merge(changes)
        if knows_all:
            hub.acknowledged = registry.sequence

    # Queries of other instances

    def respond(self, changes: _Changes, cursor: Cursor | None) -> tuple[_Changes, Cursor]:
        """Apply the changes in a query and return those for the response, with the new cursor."""
        boot, known = cursor or (0, 0)
        before = self._guard.registry.sequence
        self._guard.merge(changes)
        if self._guard.registry.sequence > before:
            self._on_changed()  # The other hub may not know them.
        if boot != self._boot:
            known = 0
        elif known == before:
            known = self._guard.registry.sequence  # The instance has sent the rest itself.
        sequence, found = self._guard.registry.changes_since(known)
        return found, (self._boot, sequence)
