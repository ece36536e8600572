"""Following of a keyed topic."""

from collections.abc import Callable

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.topics import TopicFormatError, TopicReader, TopicUpdate

from ..calls import CallResult, Calls
from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .codec import StoreCodec

# Added to the time for which the store may hold an answer back. Longer than the answers of a store
# that is slowed down; a connection that went silent is given up after it.
ANSWER_TIMEOUT_MS = 900
# Time to the next try after a failed call, doubled up to the second value.
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 400
# Failures in a row after which the store counts as away; one can be a lost answer.
AWAY_FAILURES = 2


class TopicFollower(BaseComponent):
    """Read a topic and pass its updates on, for as long as the process runs.

    `wait_ms` is how long the store holds a read back until a record comes; with 0 the topic is read
    every `interval_ms`. `confirmed_ms` is when the last call began that brought the reader up to
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
    ) -> None:
        super().__init__(channel=f"topic-{topic}")
        self._topic, self._url, self._codec = topic, url, codec
        self._interval_ms, self._wait_ms = interval_ms, wait_ms
        self._on_update = on_update
        self._clock, self._timers = clock, timers
        self._reader = TopicReader(wait_ms)
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
        request = self._codec.read(self._topic, call)
        timeout_ms = self._wait_ms + ANSWER_TIMEOUT_MS

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
            advance = self._reader.take(answer)
            if advance.update is not None:
                self.confirmed_ms = self._began_ms
                self._on_update(advance.update)
            is_paging = advance.update is None
            self._schedule(0 if is_paging or self._wait_ms else self._interval_ms)

        self._call_id = self._calls.send(
            request.method, self._url + request.path, request.body, timeout_ms, done
        )

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
