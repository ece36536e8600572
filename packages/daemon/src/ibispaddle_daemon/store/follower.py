"""Following of a keyed topic."""

from collections.abc import Callable
from dataclasses import replace

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.topics import (
    ChangesRead,
    Gone,
    NewestRead,
    ReadChanges,
    ReadNewest,
    TopicFormatError,
    TopicMirror,
    TopicReader,
    TopicUpdate,
)

from ..calls import CallResult, Calls
from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .codec import StoreCodec
from .relay import RelayedRead, TopicRelay

# Added to the time for which the store may hold an answer back. Longer than the answers of a store
# that is slowed down; a connection that went silent is given up after it.
ANSWER_TIMEOUT_MS = 900
# Time to the next try after a failed call, doubled up to the second value.
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 400
# Failures in a row after which the store counts as away; one can be a lost answer.
AWAY_FAILURES = 2
# Interval at which an instance reads for others. The age of what they get is up to three times this.
RELAY_MS = 400


class TopicFollower(BaseComponent):
    """Read a topic and pass its updates on, for as long as the process runs.

    `wait_ms` is how long the store holds a read back until a record comes; with 0 the topic is read
    every `interval_ms`. With a `relay`, other instances may be asked in place of the store, and
    `is_same` tells which changes need not be passed on to them. `confirmed_ms` is when the last call began that brought the reader up to
    date, and `returned_ms` when the store last came back.
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
        relay: TopicRelay | None = None,
        is_same: Callable[[str, bytes, bytes], bool] | None = None,
    ) -> None:
        super().__init__(channel=f"topic-{topic}")
        self._topic, self._url, self._codec = topic, url, codec
        self._interval_ms, self._wait_ms = interval_ms, wait_ms
        self._on_update = on_update
        self._clock, self._timers = clock, timers
        self._reader = TopicReader(wait_ms)
        self._relay = relay
        self._mirror = TopicMirror(is_same)
        self._skips_relay = False
        self._read_number = 0  # Answers to earlier readings are ignored.
        self._calls = Calls(f"topic-calls-{topic}", clock).register(self)
        self._began_ms = 0
        self._failures = 0
        self._call_id = ""
        self._timer: TimerHandle | None = None
        self.confirmed_ms: int | None = None
        self.returned_ms: int | None = None

    @property
    def is_away(self) -> bool:
        """Return whether the store does not answer."""
        return self._failures >= AWAY_FAILURES

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._read()

    def read_again(self) -> None:
        """Read at once; what is on its way may be older than the process knows."""
        self._calls.cancel(self._call_id)
        if self._timer is not None:
            self._timer.cancel()
        self._read()

    def _read(self) -> None:
        self._began_ms = self._clock.now_ms()
        call = self._reader.next_call()
        relay_id = self._relay.choose_relay() if self._relay is not None else None
        if relay_id is None or self._relay is None or self._skips_relay:
            self._skips_relay = False
            self._read_store(call)
        else:
            self._read_number += 1
            number = self._read_number
            self._relay.ask(
                relay_id, self._topic, call, lambda read: self._take_relayed(number, read)
            )

    def _take_relayed(self, number: int, read: RelayedRead | None) -> None:
        if number != self._read_number:
            return  # Another reading was begun meanwhile.
        if read is None:
            self._skips_relay = True
            self._read()
            return
        self._note_answer()
        self._take(read.answer, self._began_ms - read.age_ms)
        self._schedule(0)

    def _read_store(self, call: ReadNewest | ReadChanges) -> None:
        self._read_number += 1
        is_relay = self._relay is not None and self._relay.is_asked
        wait_ms, interval_ms = self._wait_ms, self._interval_ms
        if is_relay:
            wait_ms, interval_ms = min(wait_ms, RELAY_MS), min(interval_ms, RELAY_MS)
            if isinstance(call, ReadChanges):
                call = replace(call, wait_ms=wait_ms)
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
            is_paging = not self._take(answer, self._began_ms)
            if self._relay is not None and self.confirmed_ms is not None and not is_paging:
                self._relay.publish(self._topic, self._mirror, self.confirmed_ms)
            self._schedule(0 if is_paging or wait_ms else interval_ms)

        self._call_id = self._calls.send(
            request.method,
            self._url + request.path,
            request.body,
            wait_ms + ANSWER_TIMEOUT_MS,
            done,
        )

    def _take(self, answer: NewestRead | ChangesRead | Gone, confirmed_ms: int) -> bool:
        """Take an answer and return whether it brought the reader up to date."""
        update = self._reader.take(answer).update
        if update is None:
            return False
        self.confirmed_ms = max(confirmed_ms, self.confirmed_ms or confirmed_ms)
        if self._reader.offset is not None:
            self._mirror.apply(update, self._reader.offset)
        self._on_update(update)
        return True

    def _schedule(self, delay_ms: int) -> None:
        self._timer = self._timers.after(delay_ms, self._read)

    def _note_answer(self) -> None:
        if self.is_away:
            self.returned_ms = self._clock.now_ms()
            log_event(logevents.STORE_AVAILABLE, topic=self._topic, failures=self._failures)
        self._failures = 0

    def _fail(self, reason: str) -> None:
        self._failures += 1
        if self._failures == AWAY_FAILURES:
            log_event(logevents.STORE_UNAVAILABLE, topic=self._topic, reason=reason)
        delay_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS << min(self._failures - 1, 8))
        self._schedule(delay_ms)
