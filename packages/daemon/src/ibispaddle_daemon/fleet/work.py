"""Exchange of the work in flight between instances.

Each instance reports its own work to the hubs and fetches the others' before it selects an upstream.
"""

import itertools
from collections.abc import Callable, Mapping
from typing import TypeVar

import msgspec
from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.hubs import (
    FLEET_INSTANCE_ID,
    AttemptAggregator,
    HubRanking,
    PaceAggregator,
    PendingChoices,
    WorkAggregator,
)
from ibispaddle_core.scheduling import (
    HEDGE_WINDOW_MS,
    AttemptCounts,
    ColdOffer,
    FleetAttempts,
    FleetFirstOutputs,
    FleetPaces,
    PaceReport,
    PeerWork,
    UpstreamPace,
)
from ibispaddle_core.scheduling.cold import OUT_OF_TOUCH_FRACTION

from ..forwarding import Forwarder
from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .links import FleetLinks
from .messages import (
    ColdRow,
    WorkQuery,
    WorkSnapshot,
    WorkUpdate,
    decode_attempt_rows,
    decode_cold_offers,
    decode_pace_reports,
    decode_paces,
    decode_quantiles,
    decode_work,
    encode_attempt_rows,
    encode_cold,
    encode_cold_offers,
    encode_hedge_rows,
    encode_pace_reports,
    encode_paces,
    encode_quantiles,
    encode_waiting,
    encode_work_rows,
)
from .quarantine import QuarantineExchange

# Updates about work that has ended are batched for this time.
BATCH_DELAY_MS = 40
# Unchanged work is sent again at this interval, because the hubs drop updates after 1.5 s
# (`REPORT_EXPIRY_MS`).
RESEND_INTERVAL_MS = 600
# Timeout of a query; a hub normally responds within about two milliseconds. A hub that does not respond in
# time is considered busy or gone, and the upstream is selected with the last known state.
QUERY_TIMEOUT_MS = 25
# Consecutive timeouts after which another hub is used.
MAX_CONSECUTIVE_TIMEOUTS = 2
# Snapshots up to this age are reused, so that requests that arrive together cause a single query.
SNAPSHOT_MAX_AGE_MS = 4
# Interval at which the snapshot is refreshed while requests wait for an upstream.
WAITING_REFRESH_INTERVAL_MS = 50
# Interval at which an instance with work in flight checks whether the hubs have changed or its work must
# be sent again.
HUB_CHECK_INTERVAL_MS = 200
# Time without a message after which an instance may use another hub. Idle instances query the topics
# more often than that.
CONTACT_MS = 1_500


_T = TypeVar("_T")


class WorkExchange(BaseComponent):
    """Keep the forwarder's view of the other instances' work up to date."""

    channel = "work_exchange"

    def __init__(
        self,
        instance_id: str,
        forwarder: Forwarder,
        ranking: HubRanking,
        links: FleetLinks,
        clock: Clock,
        timers: TimerQueue,
        quarantine: QuarantineExchange | None = None,
    ) -> None:
        """Create the exchange; `quarantine` supplies the changes that are sent along."""
        super().__init__()
        self._quarantine = quarantine
        if quarantine is not None:
            quarantine.set_refresh(self._refresh_quarantine)
        self._instance_id, self._forwarder = instance_id, forwarder
        self._ranking, self._links = ranking, links
        self._clock, self._timers = clock, timers
        self._work_aggregator = WorkAggregator()
        self._attempt_aggregator = AttemptAggregator(instance_id, clock.now_ms())
        self._hedge_aggregator = AttemptAggregator(instance_id, clock.now_ms(), HEDGE_WINDOW_MS)
        self._pace_aggregator = PaceAggregator(instance_id, clock.now_ms())
        self._pending_choices = PendingChoices()
        self._sent_work: PeerWork | None = None
        self._sent_ms = 0
        self._sent_to: tuple[str, ...] = ()
        self._sent_totals: Mapping[str, AttemptCounts] = {}
        self._sent_paces: Mapping[str, PaceReport] = {}
        self._sent_cold: Mapping[str, int] = {}
        self._send_timer: TimerHandle | None = None
        self._send_due_ms = 0
        self._callbacks: list[Callable[[], None]] = []  # Called after the next snapshot.
        self._query_ids = itertools.count(1)
        self._pending_query: tuple[int, str] | None = None  # Query id and hub id.
        self._query_ms = 0  # Time of the last query.
        self._query_timer: TimerHandle | None = None
        self._hub_id: str | None = None
        self._timeouts = 0
        self._snapshot_ms: int | None = None
        self._check_timer: TimerHandle | None = None
        links.receivers[WorkUpdate] = self._on_update
        links.receivers[WorkQuery] = self._on_query
        links.receivers[WorkSnapshot] = self._on_snapshot
        links.on_peer_lost.append(self._on_lost)
        forwarder.on_work_changed = self._on_work_changed
        forwarder.before_selection = self.refresh

    # Queries

    def refresh(self, callback: Callable[[], None], service: str = "") -> None:
        """Call `callback` once the other instances' work is known, or after a short timeout.

        `service` is the service for which an upstream is to be selected.
        """
        now_ms = self._clock.now_ms()
        hub_id = self._choose_hub(now_ms)
        if hub_id is None:
            counts = self._attempt_aggregator.total_excluding(self._instance_id, now_ms)
            paces = self._pace_aggregator.paces_excluding(self._instance_id, now_ms)
            others = self._work_aggregator.total_excluding(self._instance_id, now_ms)
            hedging = self._hedging_of_others(self._instance_id, now_ms)
            self._apply(others, counts, paces, hedging, self._offers(self._instance_id), now_ms)
            callback()
            return
        if self._snapshot_ms is not None and now_ms - self._snapshot_ms < SNAPSHOT_MAX_AGE_MS:
            callback()
            return
        self._callbacks.append(callback)
        if self._pending_query is None:
            self._send_query(hub_id, service)

    def _choose_hub(self, now_ms: int) -> str | None:
        """Return the hub to query; it stays the same as long as it responds."""
        hubs = self._ranking.hubs_before(now_ms)  # Those that are ranked before this instance.
        if self._hub_id is None or self._hub_id not in hubs:
            chosen = hubs[0] if hubs else None
            if chosen != self._hub_id:
                log_event(logevents.HUB_CHANGED, hub=chosen)
            self._hub_id = chosen
        return self._hub_id

    def _send_query(self, hub_id: str, service: str) -> None:
        query_id = next(self._query_ids)
        self._pending_query, self._query_ms = (query_id, hub_id), self._clock.now_ms()
        self._query_timer = self._timers.after(
            QUERY_TIMEOUT_MS, lambda: self._handle_missing_response(hub_id)
        )
        query = WorkQuery(query_id, service)
        if self._quarantine is not None:
            query = WorkQuery(query_id, service, *self._quarantine.query(hub_id))
        if unknown := self._forwarder.scheduler.pacing.cold_without_offer():
            query = msgspec.structs.replace(query, cold=encode_cold(unknown, self._query_ms))
        is_sent = self._links.send(hub_id, query)
        # If the connection failed while the query was being written, `_on_lost` has ended the query.
        if not is_sent and self._pending_query == (query_id, hub_id):
            self._query_timer.cancel()
            self._handle_missing_response(hub_id)

    def _handle_missing_response(self, hub_id: str) -> None:
        """Continue without the hub's response, and use another hub if it has failed repeatedly."""
        self._timeouts += 1
        if self._timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            self._drop_hub(hub_id, "no response to consecutive queries")
        if self._snapshot_ms is None:
            self._forwarder.update_paces(self._paces(None, None, 0))  # The size of the fleet.
        self._run_callbacks()

    def _drop_hub(self, hub_id: str, reason: str) -> None:
        self._timeouts = 0
        self._ranking.mark_unreachable(hub_id, self._clock.now_ms())
        log_event(logevents.HUB_SUSPECTED, hub=hub_id, reason=reason)
        self._links.drop(hub_id, reason)

    def _on_lost(self, instance_id: str) -> None:
        if instance_id not in (self._hub_id, *self._sent_to):
            return
        self._ranking.mark_unreachable(instance_id, self._clock.now_ms())
        if self._pending_query is not None and self._pending_query[1] == instance_id:
            if self._query_timer is not None:
                self._query_timer.cancel()
            self._run_callbacks()

    def _on_snapshot(self, instance_id: str, message: WorkSnapshot) -> None:
        self._ranking.mark_reachable(instance_id)
        if self._quarantine is not None:
            self._quarantine.apply_response(
                instance_id, message.change_query_id, message.changes, message.cursor
            )
        rows = message.service_attempts
        counts = decode_attempt_rows(rows) if rows is not None else None
        if message.first_outputs:
            quantiles = decode_quantiles(message.first_outputs)
            self._forwarder.handle_event(FleetFirstOutputs(quantiles))
        # The offers of a late response may have been given to other instances since.
        is_late = self._pending_query != (message.query_id, instance_id)
        self._apply(
            decode_work(FLEET_INSTANCE_ID, message, self._clock.now_ms(), message.choice_rank),
            counts,
            decode_paces(message.paces) if message.paces is not None else None,
            (
                AttemptCounts(message.hedging[0], hedges=message.hedging[1])
                if message.hedging
                else None
            ),
            None if is_late else decode_cold_offers(message.cold),
            self._query_ms,
        )
        if is_late:
            return  # The response came late; the callbacks have been called without it.
        if self._query_timer is not None:
            self._query_timer.cancel()
        self._timeouts = 0
        self._run_callbacks()

    # Quarantine

    def _refresh_quarantine(self, callback: Callable[[], None]) -> None:
        """Call `callback` with the changes that the hub knows now, or after a short timeout."""
        self._snapshot_ms = None
        self.refresh(callback)

    def _apply(
        self,
        others: PeerWork,
        counts: Mapping[str, AttemptCounts] | None,
        paces: Mapping[str, UpstreamPace] | None,
        hedging: AttemptCounts | None,
        offers: Mapping[str, ColdOffer] | None,
        asked_ms: int,
    ) -> None:
        self._snapshot_ms = self._clock.now_ms()
        instances = max(1, self._ranking.size)
        self._forwarder.update_fleet_work(
            others, FleetAttempts(counts, instances, hedging), self._paces(paces, offers, asked_ms)
        )

    def _paces(
        self,
        paces: Mapping[str, UpstreamPace] | None,
        offers: Mapping[str, ColdOffer] | None,
        asked_ms: int,
    ) -> FleetPaces:
        instances = max(1, self._ranking.size)
        return FleetPaces(paces, instances, self._ranking.position, offers, asked_ms)

    def _hedging_of_others(self, instance_id: str, now_ms: int) -> AttemptCounts | None:
        """Return the first attempts and hedges that this hub has counted, if hedging is on."""
        if not self._forwarder.scheduler.hedging.is_enabled:
            return None
        counts = self._hedge_aggregator.known_excluding(instance_id, now_ms)
        return sum(counts.values(), AttemptCounts())

    def _run_callbacks(self) -> None:
        self._pending_query = self._query_timer = None
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()
        if self._forwarder.has_waiting_requests:
            self._schedule_check()

    def _check(self) -> None:
        """Refresh the snapshot while requests wait, and send unchanged work again when due."""
        self._check_timer = None
        now_ms = self._clock.now_ms()
        if self._forwarder.has_waiting_requests:
            self._send_update()  # Prompts that wait for memory, if they have changed.
            self.refresh(self._forwarder.schedule_waiting)
        has_work = self._sent_work is not None and bool(
            self._sent_work.work or self._sent_work.avoided or self._sent_work.waiting
        )
        is_old = now_ms - self._sent_ms >= RESEND_INTERVAL_MS
        if has_work and (is_old or self._ranking.hubs(now_ms) != self._sent_to):
            self._send_update(force=True)
        if has_work or self._forwarder.has_waiting_requests:
            self._schedule_check()

    def _schedule_check(self) -> None:
        if self._check_timer is None:
            delay_ms = (
                WAITING_REFRESH_INTERVAL_MS
                if self._forwarder.has_waiting_requests
                else HUB_CHECK_INTERVAL_MS
            )
            self._check_timer = self._timers.after(delay_ms, self._check)

    # Updates

    def _on_work_changed(self, is_added: bool) -> None:
        """Report added work to the hubs at once, and ended work after a short delay."""
        if is_added:
            self._send_update()
            return
        if self._send_timer is None:
            self._send_timer = self._timers.after(BATCH_DELAY_MS, self._send_update)

    def _send_update(self, force: bool = False) -> None:
        if self._send_timer is not None:
            self._send_timer.cancel()
            self._send_timer = None
        now_ms = self._clock.now_ms()
        work = self._forwarder.scheduler.own_work(self._instance_id, now_ms)
        if work == self._sent_work and not force:
            return
        self._sent_work, self._sent_ms = work, now_ms
        previous_hubs, self._sent_to = self._sent_to, self._ranking.hubs(now_ms)
        totals = self._forwarder.scheduler.attempt_totals
        self._work_aggregator.update(work, now_ms)
        self._attempt_aggregator.update(self._instance_id, totals, now_ms)
        if self._forwarder.scheduler.hedging.is_enabled:
            self._hedge_aggregator.update(self._instance_id, totals, now_ms)
        self._schedule_check()
        paces = self._forwarder.scheduler.pacing.reports()
        self._pace_aggregator.update(self._instance_id, paces, now_ms)
        # A message is lost only with its connection, after which the hubs change.
        if force or self._sent_to != previous_hubs:
            self._sent_totals, self._sent_paces, self._sent_cold = {}, {}, {}
        new_totals = _changed(totals, self._sent_totals)
        new_paces = _changed(paces, self._sent_paces)
        cold = self._forwarder.scheduler.pacing.cold.until_ms()
        new_cold = _changed(cold, self._sent_cold)
        self._sent_totals, self._sent_paces, self._sent_cold = totals, paces, cold
        total = sum(totals.values(), AttemptCounts())
        update = WorkUpdate(
            encode_work_rows(work.work),
            work.avoided,
            total.first,
            total.retries,
            encode_attempt_rows(new_totals),
            encode_pace_reports(new_paces),
            encode_waiting(work.waiting, now_ms),
            tuple(work.holders.items()),
            encode_hedge_rows(new_totals),
            tuple(self._forwarder.scheduler.hedging.take_samples()),
            encode_cold(new_cold, now_ms),
        )
        frame = self._links.encode(update)
        for hub_id in self._sent_to:
            if hub_id != self._instance_id:
                self._links.send_frame(hub_id, frame)

    # Hub

    def _on_update(self, instance_id: str, message: WorkUpdate) -> None:
        now_ms = self._clock.now_ms()
        work = decode_work(instance_id, message, now_ms)
        self._work_aggregator.update(work, now_ms)
        self._pending_choices.end_choice(instance_id)
        totals = decode_attempt_rows(message.attempts, message.hedges)
        self._attempt_aggregator.update(instance_id, totals, now_ms)
        if self._forwarder.scheduler.hedging.is_enabled:
            self._hedge_aggregator.update(instance_id, totals, now_ms)
        self._pace_aggregator.update(instance_id, decode_pace_reports(message.paces), now_ms)
        if message.first_outputs:
            self._forwarder.scheduler.hedging.merge_samples(message.first_outputs, now_ms)
        self._merge_cold(message.cold)

    def _merge_cold(self, rows: tuple[ColdRow, ...]) -> None:
        for upstream_id, left_ms in rows:
            cold = self._forwarder.scheduler.pacing.cold
            cold.merge(upstream_id, left_ms, self._clock.now_ms())

    def _offers(self, instance_id: str) -> dict[str, ColdOffer] | None:
        """Return what this hub offers an instance for cold upstreams, or None if that is unknown."""
        now_ms = self._clock.now_ms()
        pacing = self._forwarder.scheduler.pacing
        pacing.expire_cold(now_ms)
        until_ms = pacing.cold.until_ms()
        if not until_ms:
            return {}
        instances = max(1, self._ranking.size)
        contacts = 1 + self._links.count_heard(now_ms - CONTACT_MS)
        # Of several hubs that do not reach each other's instances, only one has the majority.
        part = 1.0 if 2 * contacts > instances else OUT_OF_TOUCH_FRACTION * contacts / instances
        cold_per_s = {name: pacing.cold.per_s(name) for name in until_ms}
        room = self._pace_aggregator.offers(instance_id, cold_per_s, part, now_ms)
        if room is None:
            return None
        return {name: ColdOffer(until_ms[name] - now_ms, room[name]) for name in until_ms}

    def _on_query(self, instance_id: str, message: WorkQuery) -> None:
        now_ms = self._clock.now_ms()
        self._merge_cold(message.cold)
        others = self._work_aggregator.total_excluding(instance_id, now_ms)
        counts = self._attempt_aggregator.total_excluding(instance_id, now_ms)
        paces = self._pace_aggregator.paces_excluding(instance_id, now_ms)
        attempts = service_attempts = None
        if counts is not None:
            total = sum(counts.values(), AttemptCounts())
            attempts = (total.first, total.retries)
            service_attempts = encode_attempt_rows(counts)
        hedging = self._hedging_of_others(instance_id, now_ms)
        # The number of instances that queried earlier for the same service and have not reported their
        # selection yet.
        choice_rank = self._pending_choices.begin_choice(instance_id, message.service, now_ms)
        rows = encode_work_rows(others.work)
        snapshot = WorkSnapshot(
            message.query_id,
            rows,
            others.avoided,
            attempts,
            choice_rank,
            service_attempts=service_attempts,
            paces=encode_paces(paces) if paces is not None else None,
            waiting=encode_waiting(others.waiting, now_ms),
            holders=tuple(others.holders.items()),
            hedging=(hedging.first, hedging.hedges) if hedging is not None else None,
            first_outputs=encode_quantiles(self._forwarder.scheduler.hedging.own_quantiles(now_ms)),
            cold=encode_cold_offers(self._offers(instance_id)),
        )
        if self._quarantine is not None:
            changes, cursor = self._quarantine.respond(message.changes, message.cursor)
            snapshot = msgspec.structs.replace(
                snapshot, change_query_id=message.change_query_id, changes=changes, cursor=cursor
            )
        self._links.answer(instance_id, snapshot)


def _changed(values: Mapping[str, _T], sent: Mapping[str, _T]) -> dict[str, _T]:
    return {name: item for name, item in values.items() if item != sent.get(name)}
