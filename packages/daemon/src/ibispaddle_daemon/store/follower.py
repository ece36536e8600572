"""Following of a keyed topic."""

from collections.abc import Callable
from typing import Protocol

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.topics import (
    ChangesPage,
    NewestPage,
    OffsetExpired,
    TopicFormatError,
    TopicMirror,
    TopicReader,
    TopicUpdate,
)

from ..calls import CallbackHttpClient, CallResult
from ..logs import log_event
from ..timers import TimerQueue
from .codec import StoreCodec

# Added to the time for which the store may hold an answer back. Longer than the answers of a store
# that is slowed down; a connection that went silent is given up after it.
RESPONSE_MARGIN_MS = 900
# Time to the next try after a failed call, doubled up to the second value.
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 400
# Failures in a row after which the store counts as away; one can be a lost answer.
UNAVAILABLE_AFTER_FAILURES = 2


class Relay(Protocol):
    """Read topics through another instance, in place of the store."""

    def add(self, topic: str, follower: "TopicFollower", is_urgent: bool = True) -> None:
        """Follow a topic, whose readings must be recent if it is urgent."""

    def must_read_store(self) -> bool:
        """Return whether the store has to be read, or else follow another instance from now on."""

    def publish(self, topic: str, mirror: TopicMirror, confirmed_ms: int) -> None:
        """Pass a reading on to other instances."""

    def notify_store_unavailable(self) -> None:
        """Take the news that the store does not answer."""


class TopicFollower(BaseComponent):
    """Read a topic and pass its updates on, for as long as the process runs.

    `wait_ms` is how long the store holds a read back until a record comes; two readings are at least
    `interval_ms` apart. With a `relay`, a hub may be asked in place of the store, and `is_same` tells
    which changes need not be passed on to other instances. `confirmed_ms` is when the last call began
    that brought the reader up to date, and `recovered_ms` when the store last came back.
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
        self._calls = CallbackHttpClient(f"topic-calls-{topic}", clock).register(self)
        self._began_ms = 0
        self._failures = 0
        self._failed_ms = 0
        self.confirmed_ms: int | None = None
        self.recovered_ms: int | None = None
        if relay is not None:
            relay.add(topic, self, is_urgent)

    @property
    def is_store_unavailable(self) -> bool:
        """Return whether the store does not answer."""
        return self._failures >= UNAVAILABLE_AFTER_FAILURES

    @property
    def offset(self) -> int | None:
        """Return the offset of the next record, or None before all keys are read."""
        return self._reader.offset

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        if self._relay is None:
            self.read_store()

    def read_store(self) -> None:
        """Read the store from now on, unless that is being done."""
        if not self._is_reading:
            self._is_reading = True
            self._read()

    def apply_relayed(
        self, answer: NewestPage | ChangesPage | OffsetExpired, confirmed_ms: int
    ) -> None:
        """Take what a hub answered."""
        if confirmed_ms >= self._failed_ms:
            self._note_answer()  # The hub has reached the store since this instance did not.
        if self._take(answer, confirmed_ms):
            self._publish()

    def _read(self) -> None:
        self._began_ms = self._clock.now_ms()
        call = self._reader.next_call()
        request = self._codec.read(self._topic, call)

        def done(result: CallResult) -> None:
            if result.error is not None:
                self._fail(result.error.text)
                return
            try:
                answer = self._codec.decode(call, result.status, result.body)
            except TopicFormatError as exc:
                self._fail(str(exc))
                return
            self._note_answer()
            if call != self._reader.next_call():
                self._schedule(0)  # A hub has answered meanwhile and is further ahead.
            elif self._take(answer, self._began_ms):
                self._publish()
                self._schedule(self._began_ms + self._interval_ms - self._clock.now_ms())
            else:
                self._schedule(0)

        self._calls.send(
            request.method,
            self._url + request.path,
            request.body,
            self._wait_ms + RESPONSE_MARGIN_MS,
            done,
        )

    def _publish(self) -> None:
        if self._relay is not None and self.confirmed_ms is not None:
            self._relay.publish(self._topic, self._mirror, self.confirmed_ms)

    def _take(self, answer: NewestPage | ChangesPage | OffsetExpired, confirmed_ms: int) -> bool:
        """Take an answer and return whether it brought the reader up to date."""
        update = self._reader.handle_answer(answer).update
        if update is None:
            return False
        self.confirmed_ms = max(confirmed_ms, self.confirmed_ms or confirmed_ms)
        if self._reader.offset is not None:
            self._mirror.apply(update, self._reader.offset)
        self._on_update(update)
        return True

    def _schedule(self, delay_ms: int) -> None:
        self._timers.after(max(0, delay_ms), self._read_on)

    def _read_on(self) -> None:
        if self._relay is None or self._relay.must_read_store():
            self._read()
        else:
            self._is_reading = False  # A hub is asked from now on.

    def _note_answer(self) -> None:
        if self.is_store_unavailable:
            self.recovered_ms = self._clock.now_ms()
            log_event(logevents.STORE_AVAILABLE, topic=self._topic, failures=self._failures)
        self._failures = 0

    def _fail(self, reason: str) -> None:
        self._failures += 1
        self._failed_ms = self._clock.now_ms()
        if self._failures == UNAVAILABLE_AFTER_FAILURES:
            log_event(logevents.STORE_UNAVAILABLE, topic=self._topic, reason=reason)
            if self._relay is not None:
                self._relay.notify_store_unavailable()
        delay_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS << min(self._failures - 1, 8))
        self._schedule(delay_ms)
