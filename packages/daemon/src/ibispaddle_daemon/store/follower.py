"""Continuous reading of a keyed topic."""

from collections.abc import Callable
from typing import Protocol

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.topics import (
    ChangesPage,
    LateMargin,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReaderStep,
    ReadNewest,
    TopicFormatError,
    TopicMirror,
    TopicPosition,
    TopicReader,
    TopicUpdate,
)

from ..calls import CallbackHttpClient, CallResult
from ..events import MAX_BUFFERED_BODY_BYTES
from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .codec import StoreCodec

# Added to the long-poll wait to get the time after which a call counts as failed and another one is made.
# Longer than the response time of a slow store, and short enough for calls on dead connections.
RESPONSE_MARGIN_MS = 900
# Added to the long-poll wait to get the time after which a call is aborted. The answer to a call that
# counted as failed is still used until then.
LATE_RESPONSE_MARGIN_MS = 4_000
# Delay before a failed call is retried, doubled with each failure up to the maximum.
INITIAL_RETRY_MS = 100
MAX_RETRY_MS = 400
# Consecutive failures after which the store counts as unavailable; a single one can be a lost response.
UNAVAILABLE_AFTER_FAILURES = 2
# Interval between reads after `read_often`.
OFTEN_INTERVAL_MS = 100


class Relay(Protocol):
    """Reads topics through another instance instead of the store."""

    def add(self, topic: str, follower: "TopicFollower", is_urgent: bool = True) -> None:
        """Add a topic; the data of an urgent one must be recent."""

    def must_read_store(self) -> bool:
        """Return whether the store must be read; otherwise make sure that a hub is being queried."""

    def is_data_overdue(self) -> bool:
        """Return whether the urgent topics are so old that the store is read whether or not there is a hub."""

    def publish(self, topic: str, mirror: TopicMirror, confirmed_ms: int) -> None:
        """Make new data available to other instances."""

    def notify_store_unavailable(self) -> None:
        """Answer the queries of other instances, to report that the store is unavailable."""


class TopicFollower(BaseComponent):
    """Read a topic for as long as the process runs, and call `on_update` with its updates.

    `wait_ms` is the long-poll wait: the time for which the store holds a read until there is a new
    record. Calls start at least `interval_ms` apart. With a `relay`, a hub may be queried instead of the
    store; changes for which `is_same` returns True are not relayed to other instances. `recovered_ms`
    is the time at which the store last became available again, or was found to be restored.
    """

    def __init__(
        self,
        topic: str,
        url: str,
        codec: StoreCodec,
        wait_ms: int,
        interval_ms: int,
        on_update: Callable[[TopicUpdate], None],
        clock: Clock,
        timers: TimerQueue,
        relay: Relay | None = None,
        is_same: Callable[[str, bytes, bytes], bool] | None = None,
        is_urgent: bool = True,
    ) -> None:
        super().__init__(channel=f"topic-{topic}")
        self._topic, self._url, self._codec = topic, url, codec
        self._interval_ms, self._wait_ms = interval_ms, wait_ms
        self._on_update = on_update
        self._clock, self._timers = clock, timers
        self._reader = TopicReader(wait_ms)
        self._relay = relay
        self._mirror = TopicMirror(is_same)
        self._is_reading = False
        self._read_often_until_ms = 0
        self._next_read: TimerHandle | None = None
        self._read_number = 0  # Number of the last read that has neither failed nor been answered.
        self._calls = CallbackHttpClient(f"topic-calls-{topic}", clock).register(self)
        self._failures = 0
        self._last_failure_ms = 0
        self._is_late = False  # The store has not answered the read in progress in time.
        self._late_margin = LateMargin()
        self._behind_since_ms: int | None = None
        # The same as `confirmed_ms`, of the store's own answers.
        self.read_confirmed_ms: int | None = None
        self.recovered_ms: int | None = None
        if relay is not None:
            relay.add(topic, self, is_urgent)

    @property
    def is_store_unavailable(self) -> bool:
        """Return whether the store is unavailable to this instance."""
        return self._is_late or self._failures >= UNAVAILABLE_AFTER_FAILURES

    @property
    def position(self) -> TopicPosition | None:
        """Return the position up to which the topic is known, or None to get all keys from a hub."""
        return self._reader.relayed_position

    @property
    def confirmed_ms(self) -> int | None:
        """Return the time as of which all records are applied, or None before all keys are read."""
        return self._reader.confirmed_ms

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        if self._relay is None:
            self.read_store()

    def read_store(self) -> None:
        """Start to read the store, unless it is being read already."""
        if not self._is_reading:
            self._is_reading = True
            self._read()

    def read_often(self, duration_ms: int) -> None:
        """Read the store itself and more often than usual for a time."""
        self._read_often_until_ms = self._clock.now_ms() + duration_ms
        if self._next_read is not None:
            self._schedule(0)
        else:
            self.read_store()

    def apply_relayed(
        self,
        answer: NewestPage | ChangesPage | OffsetExpired,
        confirmed_ms: int,
        is_from_hub: bool,
    ) -> bool:
        """Apply data that another instance has sent, which is a hub that the store serves or not.

        Return False if it is older than what this instance has read.
        """
        if is_from_hub and confirmed_ms >= self._last_failure_ms:
            self._record_success()  # The hub reached the store after this instance's last failure.
        known = self._reader.position
        step = self._reader.handle_relayed(answer, confirmed_ms)
        self._apply(step, known, is_relayed=True)
        return not step.is_hub_behind

    def _read(self) -> None:
        self._next_read = None
        self._read_number += 1
        number, started_ms = self._read_number, self._clock.now_ms()
        call, position = self._reader.next_call(), self._reader.position
        request = self._codec.read(self._topic, call)

        def fail_if_unanswered() -> None:
            self._read_number += 1
            self._record_failure(f"no answer within {self._wait_ms + RESPONSE_MARGIN_MS} ms")

        def report_late() -> None:
            self._is_late = True
            if self._relay is not None:
                self._relay.notify_store_unavailable()

        def report_late_if_overdue() -> None:
            if self._relay is not None and self._relay.is_data_overdue():
                report_late()

        timers = [
            self._timers.after(self._wait_ms + after_ms, callback)
            for after_ms, callback in (
                (self._late_margin.after_ms(is_data_overdue=True), report_late_if_overdue),
                (self._late_margin.after_ms(is_data_overdue=False), report_late),
                (RESPONSE_MARGIN_MS, fail_if_unanswered),
            )
        ]

        def done(result: CallResult) -> None:
            for timer in timers:
                timer.cancel()
            # The failure of a late call is recorded, and another read follows it.
            is_late = number != self._read_number
            answer = self._decode(call, result, is_late)
            if answer is None:
                return
            self._record_success()
            self._late_margin.record_answer(self._clock.now_ms() - started_ms - self._wait_ms)
            is_overtaken = (call, position) != (self._reader.next_call(), self._reader.position)
            if not is_overtaken:  # Otherwise the reader has newer data from a hub or another call.
                self._handle_answer(answer, started_ms)
            if not is_late:
                self._schedule_next(started_ms, is_overtaken)

        self._calls.send(
            request.method,
            self._url + request.path,
            request.body,
            self._wait_ms + LATE_RESPONSE_MARGIN_MS,
            done,
            MAX_BUFFERED_BODY_BYTES,
            may_reuse_connection=True,
        )

    def _handle_answer(
        self, answer: NewestPage | ChangesPage | OffsetExpired, started_ms: int
    ) -> None:
        before_ms, known = self.confirmed_ms, self._reader.position
        step = self._reader.handle_answer(answer, started_ms)
        if self.confirmed_ms != before_ms:
            self.read_confirmed_ms = self.confirmed_ms
        self._apply(step, known)

    def _decode(
        self, call: ReadNewest | ReadChanges, result: CallResult, is_late: bool
    ) -> NewestPage | ChangesPage | OffsetExpired | None:
        """Return the answer to a call, or record its failure, unless it has been, and return None."""
        try:
            if result.error is None:
                return self._codec.decode(call, result.status, result.headers, result.body)
            reason = result.error.text
        except TopicFormatError as exc:
            reason = str(exc)
        if not is_late:
            self._record_failure(reason)
        return None

    def _schedule_next(self, started_ms: int, is_overtaken: bool) -> None:
        """Schedule the read that follows one that was answered."""
        if is_overtaken:
            self._schedule(0)
        elif self._reader.is_behind:
            # Also if there is a hub: its data may be older than what the store has named.
            self._schedule(0, self._read_on)
        else:
            interval_ms = OFTEN_INTERVAL_MS if self._is_read_often else self._interval_ms
            self._schedule(started_ms + interval_ms - self._clock.now_ms())

    def _apply(
        self, step: ReaderStep, known: TopicPosition | None, is_relayed: bool = False
    ) -> None:
        """Apply the result of a read from a known position, and make it available to other instances."""
        self._log_progress()
        if step.update is None:
            return
        if step.update.is_restored:
            self.recovered_ms = self._clock.now_ms()
        position, settled_position = self._reader.position, self._reader.settled_position
        self._log_restored(step.update, known)
        if position is not None:
            self._mirror.apply(step.update, position, settled_position, is_relayed)
        self._on_update(step.update)
        if self._relay is not None and self.confirmed_ms is not None:
            self._relay.publish(self._topic, self._mirror, self.confirmed_ms)

    def _log_restored(self, update: TopicUpdate, known: TopicPosition | None) -> None:
        position = self._reader.position
        if known is None or position is None:
            return
        if update.is_restored or known.era != position.era:
            log_event(
                logevents.STORE_RESTORED,
                topic=self._topic,
                era=position.era,
                known_era=known.era,
                position=position.offset,
                known_position=known.offset,
            )

    def _log_progress(self) -> None:
        """Log when the reader falls behind an end that the store has named, and when it reaches it."""
        missing, now_ms = self._reader.missing_records, self._clock.now_ms()
        position = self._reader.position
        if missing and self._behind_since_ms is None:
            self._behind_since_ms = now_ms
            log_event(
                logevents.TOPIC_BEHIND,
                topic=self._topic,
                position=position.offset if position is not None else None,
                missing=missing,
                reads_newest=isinstance(self._reader.next_call(), ReadNewest),
            )
        elif not missing and self._behind_since_ms is not None:
            duration_ms, self._behind_since_ms = now_ms - self._behind_since_ms, None
            log_event(logevents.TOPIC_CAUGHT_UP, topic=self._topic, duration_ms=duration_ms)

    @property
    def _is_read_often(self) -> bool:
        return self._clock.now_ms() < self._read_often_until_ms

    def _schedule(self, delay_ms: int, read: Callable[[], None] | None = None) -> None:
        if self._next_read is not None:
            self._next_read.cancel()
        self._next_read = self._timers.after(max(0, delay_ms), read or self._read_next)

    def _read_next(self) -> None:
        self._next_read = None
        if self._relay is None or self._is_read_often or self._relay.must_read_store():
            self._read()
        else:
            self._is_reading = False  # A hub is queried instead.

    def _read_on(self) -> None:
        if self._relay is not None:
            self._relay.must_read_store()  # Another instance may have more recent data meanwhile.
        self._read()

    def _record_success(self) -> None:
        if self._failures >= UNAVAILABLE_AFTER_FAILURES:
            self.recovered_ms = self._clock.now_ms()
            log_event(logevents.STORE_AVAILABLE, topic=self._topic, failures=self._failures)
        self._failures, self._is_late = 0, False

    def _record_failure(self, reason: str) -> None:
        self._failures += 1
        self._last_failure_ms = self._clock.now_ms()
        if self._failures == 1:
            log_event(logevents.STORE_READ_FAILED, topic=self._topic, reason=reason)
        if self._failures == UNAVAILABLE_AFTER_FAILURES:
            log_event(logevents.STORE_UNAVAILABLE, topic=self._topic, reason=reason)
            if self._relay is not None:
                self._relay.notify_store_unavailable()
        delay_ms = min(MAX_RETRY_MS, INITIAL_RETRY_MS << min(self._failures - 1, 8))
        self._schedule(delay_ms)
