"""Work in flight of the whole fleet: told to the hubs, and asked for before an upstream is chosen."""

import itertools
from collections.abc import Callable

from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.hubs import (
    FLEET_INSTANCE_ID,
    AttemptAggregator,
    HubRanking,
    PendingChoices,
    WorkAggregator,
)
from ibispaddle_core.scheduling import AttemptCounts, FleetAttempts, PeerWork

from ..forwarding import Forwarder
from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .links import FleetLinks
from .messages import WorkQuery, WorkSnapshot, WorkUpdate, decode_work_rows, encode_work_rows

# Work that has ended is told together with what changes within this time.
BATCH_DELAY_MS = 40
# The hubs forget what was told after 1.5 s; an instance with unchanged work repeats it before.
RESEND_INTERVAL_MS = 600
# A hub answers within about two milliseconds. One that takes this long is busy or gone, and the choice
# is made with what is known.
QUERY_TIMEOUT_MS = 25
# Answers that may be missing in a row before another hub is asked.
MAX_CONSECUTIVE_TIMEOUTS = 2
# A picture of this age is used again: several requests that come together ask once.
SNAPSHOT_MAX_AGE_MS = 4
# Interval at which the picture is renewed while requests wait for an upstream.
WAITING_REFRESH_INTERVAL_MS = 50
# Interval at which an instance with work in flight looks whether the hubs have changed.
REVIEW_INTERVAL_MS = 200


class WorkExchange(BaseComponent):
    """Keep the forwarder's picture of the other instances' work up to date."""

    channel = "work_exchange"

    def __init__(
        self,
        instance_id: str,
        forwarder: Forwarder,
        ranking: HubRanking,
        links: FleetLinks,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._instance_id, self._forwarder = instance_id, forwarder
        self._ranking, self._links = ranking, links
        self._clock, self._timers = clock, timers
        self._board = WorkAggregator()
        self._attempt_board = AttemptAggregator(clock.now_ms())
        self._turns = PendingChoices()
        self._told: PeerWork | None = None
        self._told_ms = 0
        self._told_to: tuple[str, ...] = ()
        self._tell_timer: TimerHandle | None = None
        self._tell_due_ms = 0
        self._waiting: list[Callable[[], None]] = []  # What follows the next picture.
        self._numbers = itertools.count(1)
        self._asked: tuple[int, str] | None = None  # Number of the question, and the hub.
        self._ask_timer: TimerHandle | None = None
        self._hub_id: str | None = None
        self._misses = 0
        self._picture_ms: int | None = None
        self._review_timer: TimerHandle | None = None
        links.receivers[WorkUpdate] = self._on_told
        links.receivers[WorkQuery] = self._on_asked
        links.receivers[WorkSnapshot] = self._on_picture
        links.on_peer_lost.append(self._on_lost)
        forwarder.on_work_changed = self._on_work_changed
        forwarder.before_selection = self.refresh

    # Asking

    def refresh(self, then: Callable[[], None], service: str = "") -> None:
        """Call back when the work of the other instances is known, or after a short time.

        `service` names the service whose upstream is to be chosen.
        """
        now_ms = self._clock.now_ms()
        hub_id = self._choose_hub(now_ms)
        if hub_id is None:
            counts = self._attempt_board.total_excluding(self._instance_id, now_ms)
            self._take(self._board.total_excluding(self._instance_id, now_ms), counts)
            then()
            return
        if self._picture_ms is not None and now_ms - self._picture_ms < SNAPSHOT_MAX_AGE_MS:
            then()
            return
        self._waiting.append(then)
        if self._asked is None:
            self._ask(hub_id, service)

    def _choose_hub(self, now_ms: int) -> str | None:
        """Return the hub to ask, the same one as long as it answers."""
        hubs = self._ranking.hubs_before(now_ms)
        if self._hub_id is None or self._hub_id not in hubs:
            chosen = hubs[0] if hubs else None
            if chosen != self._hub_id:
                log_event(logevents.HUB_CHANGED, hub=chosen)
            self._hub_id = chosen
        return self._hub_id

    def _ask(self, hub_id: str, service: str) -> None:
        number = next(self._numbers)
        self._asked = (number, hub_id)
        self._ask_timer = self._timers.after(QUERY_TIMEOUT_MS, lambda: self._miss(hub_id))
        if not self._links.send(hub_id, WorkQuery(number, service)):
            self._ask_timer.cancel()
            self._miss(hub_id)

    def _miss(self, hub_id: str) -> None:
        """Go on without an answer."""
        self._misses += 1
        if self._misses >= MAX_CONSECUTIVE_TIMEOUTS:
            self._give_up(hub_id, "no answer")
        self._go_on()

    def _give_up(self, hub_id: str, reason: str) -> None:
        self._misses = 0
        self._ranking.mark_unreachable(hub_id, self._clock.now_ms())
        log_event(logevents.HUB_SUSPECTED, hub=hub_id, reason=reason)
        self._links.drop(hub_id, reason)

    def _on_lost(self, instance_id: str) -> None:
        if instance_id not in (self._hub_id, *self._told_to):
            return
        self._ranking.mark_unreachable(instance_id, self._clock.now_ms())
        if self._asked is not None and self._asked[1] == instance_id:
            if self._ask_timer is not None:
                self._ask_timer.cancel()
            self._go_on()

    def _on_picture(self, instance_id: str, message: WorkSnapshot) -> None:
        self._ranking.mark_reachable(instance_id)
        counts = AttemptCounts(*message.attempts) if message.attempts is not None else None
        self._take(
            decode_work_rows(FLEET_INSTANCE_ID, message.rows, message.avoided, message.turn), counts
        )
        if self._asked != (message.number, instance_id):
            return  # Late: the choice was made without this answer.
        if self._ask_timer is not None:
            self._ask_timer.cancel()
        self._misses = 0
        self._go_on()

    def _take(self, others: PeerWork, counts: AttemptCounts | None) -> None:
        self._picture_ms = self._clock.now_ms()
        attempts = FleetAttempts(counts, max(1, self._ranking.size))
        self._forwarder.update_fleet_work(others, attempts)

    def _go_on(self) -> None:
        self._asked = self._ask_timer = None
        waiting, self._waiting = self._waiting, []
        for then in waiting:
            then()
        if self._forwarder.has_waiting_requests:
            self._review_later()

    def _review(self) -> None:
        """Renew the picture while requests wait, and repeat what is in flight."""
        self._review_timer = None
        now_ms = self._clock.now_ms()
        if self._forwarder.has_waiting_requests:
            self.refresh(self._forwarder.schedule_waiting)
        has_work = self._told is not None and bool(self._told.work or self._told.avoided)
        is_old = now_ms - self._told_ms >= RESEND_INTERVAL_MS
        if has_work and (is_old or self._ranking.hubs(now_ms) != self._told_to):
            self._tell(is_repeated=True)
        if has_work or self._forwarder.has_waiting_requests:
            self._review_later()

    def _review_later(self) -> None:
        if self._review_timer is None:
            delay_ms = (
                WAITING_REFRESH_INTERVAL_MS
                if self._forwarder.has_waiting_requests
                else REVIEW_INTERVAL_MS
            )
            self._review_timer = self._timers.after(delay_ms, self._review)

    # Telling

    def _on_work_changed(self, is_urgent: bool) -> None:
        """Tell the hubs of work that was added at once, of work that ended soon."""
        if is_urgent:
            self._tell()
            return
        if self._tell_timer is None:
            self._tell_timer = self._timers.after(BATCH_DELAY_MS, self._tell)

    def _tell(self, is_repeated: bool = False) -> None:
        if self._tell_timer is not None:
            self._tell_timer.cancel()
            self._tell_timer = None
        now_ms = self._clock.now_ms()
        work = self._forwarder.scheduler.own_work(self._instance_id, now_ms)
        if work == self._told and not is_repeated:
            return
        self._told, self._told_ms = work, now_ms
        self._told_to = self._ranking.hubs(now_ms)
        totals = self._forwarder.scheduler.attempt_totals
        self._board.update(work, now_ms)
        self._attempt_board.update(self._instance_id, totals, now_ms)
        self._review_later()
        told = WorkUpdate(encode_work_rows(work.work), work.avoided, totals.first, totals.retries)
        frame = self._links.encode(told)
        for hub_id in self._told_to:
            if hub_id != self._instance_id:
                self._links.send_frame(hub_id, frame)

    # Answering

    def _on_told(self, instance_id: str, message: WorkUpdate) -> None:
        now_ms = self._clock.now_ms()
        work = decode_work_rows(instance_id, message.rows, message.avoided)
        self._board.update(work, now_ms)
        self._turns.end_choice(instance_id)
        totals = AttemptCounts(message.first_attempts, message.retries)
        self._attempt_board.update(instance_id, totals, now_ms)

    def _on_asked(self, instance_id: str, message: WorkQuery) -> None:
        now_ms = self._clock.now_ms()
        others = self._board.total_excluding(instance_id, now_ms)
        counts = self._attempt_board.total_excluding(instance_id, now_ms)
        attempts = (counts.first, counts.retries) if counts is not None else None
        turn = self._turns.begin_choice(instance_id, message.service, now_ms)
        rows = encode_work_rows(others.work)
        picture = WorkSnapshot(message.number, rows, others.avoided, attempts, turn)
        self._links.answer(instance_id, picture)
