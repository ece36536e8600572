"""Client of the platform's log: appends and tails that read by long polling."""

# ruff: noqa: N801

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import quote

import msgspec
from circuits import BaseComponent, Event, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.decoding import DECODE_ERRORS

from .events import (
    CallFailure,
    Headers,
    HttpCall,
    HttpCallError,
    http_call,
    http_cancel,
    log_appended,
    log_health,
    log_records,
    log_reread,
)
from .logs import log_event
from .timers import TimerHandle, TimerQueue

APPEND_TIMEOUT_MS = 5_000
LONG_POLL_WAIT_MS = 20_000
READ_TIMEOUT_MS = 5_000
PAGE_RECORDS = 500
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 5_000
# After a failed append the log counts as unavailable for this time, then appends are tried again.
APPEND_RETRY_DELAY_MS = 1_000
# Consecutive lost responses that count as an outage. A single one can be caused by a keep-alive
# connection that the log has closed, and must not make the instance refuse calls for a second.
MAX_CONSECUTIVE_LOST_RESPONSES = 3


class log_follow_since(Event):
    """Start a tail at records of a maximum age: `log_follow_since(stream, age_ms, channel)`.

    Answered by `log_located` and then like `log_follow`, on the same channel.
    """


class log_unfollow(Event):
    """End the tail of a stream: `log_unfollow(stream, channel)`.

    Records of a read that was completed before may still arrive.
    """


class log_located(Event):
    """Report the start offset of a tail: `log_located(stream, offset, since_ms)`.

    All records of the stream written at or after wall time `since_ms` have this or a higher offset.
    """


class LogFailure(StrEnum):
    """The reason why an append failed."""

    RATE = "rate"  # Refused because of the rate cap; nothing was appended.
    OUTAGE = "outage"  # Refused or unreachable; nothing was appended.
    LOST = "lost"  # No response; the append may have taken effect or may still do so.
    INVALID = "invalid"  # The log does not accept the record.


@dataclass(frozen=True)
class LogError:
    """A failed append."""

    failure: LogFailure
    text: str

    @property
    def may_have_taken_effect(self) -> bool:
        """Return whether the record may be in the stream, now or later."""
        return self.failure is LogFailure.LOST


class _Record(msgspec.Struct):
    offset: int
    time_ms: int
    data: dict[str, Any]


class _Page(msgspec.Struct):
    first_offset: int
    next_offset: int
    records: list[_Record]


_PAGE_DECODER = msgspec.json.Decoder(_Page)


@dataclass(eq=False)
class _Tail:
    """The position of a tail, or the bounds of the binary search for its start."""

    stream: str
    channel: str
    position: int
    limit: int = PAGE_RECORDS
    is_at_end: bool = False
    failures: int = 0
    call_id: str = ""
    is_ended: bool = False
    since_ms: int | None = None  # Set while searching for the first record of this time.
    search_bounds: tuple[int, int] | None = field(default=None)
    retry: TimerHandle | None = None
    is_stale: bool = False  # The end of the stream was not reached after the last pause.


class PlatformLog(BaseComponent):
    """Handle `log_append`, `log_follow` and `log_follow_since`.

    A lost response to an append is reported as an error; the sender must read the stream to find
    out whether its record is in it. In `log_records`, `next_offset` is the end of the stream at the
    time of the read.
    """

    channel = "platform_log"

    def __init__(self, log_url: str, clock: Clock, timers: TimerQueue, seed: int = 0) -> None:
        super().__init__()
        self._url = log_url.rstrip("/")
        self._clock = clock
        self._timers = timers
        self._rng = random.Random(seed)
        self._appends: dict[str, tuple[str, Any, str]] = {}
        self._tails: list[_Tail] = []
        self._reads: dict[str, _Tail] = {}
        self._call_count = 0
        self._are_reads_failing = False
        self._append_blocked_until_ms = 0
        self._consecutive_lost_responses = 0
        self._available: bool | None = None
        self._are_tails_stopped = False
        # Number of the last pause; 0 once all tails have caught up.
        self._pause_number = 0
        self.bytes_read = 0
        self.append_results: Counter[tuple[str, str]] = Counter()  # By stream and result.

    @property
    def is_available(self) -> bool:
        """Return whether the log is available; False before the first call has ended."""
        return bool(self._available)

    @property
    def calls_in_flight(self) -> int:
        """Return the number of appends and reads in flight."""
        return len(self._appends) + len(self._reads)

    # Appends

    @handler("log_append", channel="*")
    def _on_log_append(self, stream: str, data: Any, token: Any, channel: str) -> None:
        call_id = self._next_call_id()
        self._appends[call_id] = (stream, token, channel)
        headers = (("Content-Type", "application/json"),)
        self._call(call_id, "POST", stream, "", headers, msgspec.json.encode(data))

    def _append_completed(
        self,
        stream: str,
        token: Any,
        channel: str,
        status: int,
        body: bytes,
        error: HttpCallError | None,
    ) -> None:
        offset, failure = None, None
        if error is not None:
            kind = LogFailure.LOST if error.byte_sent else LogFailure.OUTAGE
            failure = LogError(kind, f"{error.failure}: {error.text}")
        elif status == 200:
            try:
                offset = int(msgspec.json.decode(body)["offset"])
            except (*DECODE_ERRORS, KeyError, TypeError, ValueError) as exc:
                failure = LogError(LogFailure.LOST, f"the response cannot be decoded: {exc}")
        elif status == 429:
            failure = LogError(LogFailure.RATE, "the log's rate cap was exceeded (status 429)")
        elif status == 503:
            failure = LogError(LogFailure.OUTAGE, "the log reported an outage (status 503)")
        elif 400 <= status < 500:
            failure = LogError(LogFailure.INVALID, f"the log responded with status {status}")
        else:
            failure = LogError(LogFailure.LOST, f"the log responded with status {status}")
        self.append_results[stream, str(failure.failure) if failure else "ok"] += 1
        is_lost = failure is not None and failure.failure is LogFailure.LOST
        self._consecutive_lost_responses = self._consecutive_lost_responses + 1 if is_lost else 0
        if failure is None:
            self._append_blocked_until_ms = 0
        elif (
            failure.failure is LogFailure.OUTAGE
            or self._consecutive_lost_responses >= MAX_CONSECUTIVE_LOST_RESPONSES
        ):
            self._append_blocked_until_ms = self._clock.now_ms() + APPEND_RETRY_DELAY_MS
            self._timers.at(self._append_blocked_until_ms, self._report_health)
        # Health is reported first, so that receivers know it when they handle the failure.
        self._report_health()
        self.fire(log_appended(token, offset, failure), channel)

    # Tails

    @handler("log_follow", channel="*")
    def _on_log_follow(self, stream: str, from_offset: int, channel: str) -> None:
        tail = _Tail(stream, channel, from_offset)
        self._tails.append(tail)
        self._read(tail)

    @handler("log_follow_since", channel="*")
    def _on_log_follow_since(self, stream: str, age_ms: int, channel: str) -> None:
        tail = _Tail(stream, channel, 0, since_ms=self._clock.wall_ms() - age_ms)
        self._tails.append(tail)
        self._read(tail)

    @handler("process_paused", channel="*")
    def _on_process_paused(self, number: int) -> None:
        """Restart all reads, because pending responses may have been sent before the pause."""
        self._pause_number = number
        for call_id in list(self._reads):
            self.fire(http_cancel(call_id), "http_client")
        self._reads.clear()
        for tail in self._tails:
            tail.is_stale, tail.is_at_end = True, False
            if tail.retry is not None:
                tail.retry.cancel()
            self._read(tail)

    def _check_caught_up(self, tail: _Tail) -> None:
        if tail.is_at_end and tail.is_stale:
            tail.is_stale = False
            self._check_all_caught_up()

    def _check_all_caught_up(self) -> None:
        if self._pause_number and not any(tail.is_stale for tail in self._tails):
            self.fire(log_reread(True, self._pause_number), "*")
            self._pause_number = 0

    @handler("log_unfollow", channel="*")
    def _on_log_unfollow(self, stream: str, channel: str) -> None:
        for tail in [t for t in self._tails if (t.stream, t.channel) == (stream, channel)]:
            self._tails.remove(tail)
            tail.is_ended = True
            if self._reads.pop(tail.call_id, None) is not None:
                self.fire(http_cancel(tail.call_id), "http_client")
            if tail.is_stale:
                self._check_all_caught_up()
        self._probe_health()

    def _probe_health(self) -> None:
        """Repeat a read if no tail is left that failed; the log may hold those of the others for long."""
        if self._are_reads_failing and self._tails and not any(t.failures for t in self._tails):
            tail = self._tails[0]
            if self._reads.pop(tail.call_id, None) is not None:
                self.fire(http_cancel(tail.call_id), "http_client")
                self._read(tail)

    def _read(self, tail: _Tail) -> None:
        if self._are_tails_stopped or tail.is_ended:
            return
        tail.call_id = self._next_call_id()
        self._reads[tail.call_id] = tail
        position, limit = tail.position, tail.limit
        wait_ms = LONG_POLL_WAIT_MS if tail.is_at_end and not self._are_reads_failing else 0
        if tail.since_ms is not None:
            low, high = tail.search_bounds or (0, 0)
            position, limit, wait_ms = (low + high) // 2, 1, 0
        query = f"?from={position}&limit={limit}&wait_ms={wait_ms}"
        self._call(tail.call_id, "GET", tail.stream, query, (), b"", wait_ms + READ_TIMEOUT_MS)

    def _read_completed(
        self, tail: _Tail, status: int, body: bytes, error: HttpCallError | None
    ) -> None:
        self.bytes_read += len(body)
        page = None
        if error is None and status == 200:
            try:
                page = _PAGE_DECODER.decode(body)
            except DECODE_ERRORS:
                page = None
        if page is None:
            self._read_failed(tail, error)
            return
        tail.failures = 0
        self._are_reads_failing = False
        self._report_health()
        if tail.since_ms is not None:
            self._search_start(tail, page)
        else:
            records = [LogRecord(r.offset, r.time_ms, r.data) for r in page.records]
            tail.position = max(tail.position, page.first_offset)
            if records:
                tail.position = max(tail.position, records[-1].offset + 1)
            tail.is_at_end = tail.position >= page.next_offset
            event = log_records(tail.stream, records, page.first_offset, page.next_offset)
            self.fire(event, tail.channel)
            self._check_caught_up(tail)
        self._read(tail)

    def _search_start(self, tail: _Tail, page: _Page) -> None:
        """Do one step of the binary search for the first record at or after `since_ms`."""
        assert tail.since_ms is not None
        if tail.search_bounds is None:
            tail.search_bounds = (page.first_offset, page.next_offset)
        else:
            low, high = tail.search_bounds
            low = max(low, page.first_offset)
            record = page.records[0] if page.records else None
            if record is None or record.time_ms >= tail.since_ms:
                high = min(high, max(low, (tail.search_bounds[0] + tail.search_bounds[1]) // 2))
            else:
                low = max(low, record.offset + 1)
            tail.search_bounds = (low, high)
        if tail.search_bounds[0] >= tail.search_bounds[1]:
            tail.position = tail.search_bounds[0]
            since_ms, tail.since_ms = tail.since_ms, None
            self.fire(log_located(tail.stream, tail.position, since_ms), tail.channel)

    def _read_failed(self, tail: _Tail, error: HttpCallError | None) -> None:
        if error is not None and error.failure is CallFailure.TOO_LARGE and tail.limit > 1:
            tail.limit //= 2
            self._read(tail)
            return
        if error is not None and error.failure is CallFailure.CANCELLED and self._are_tails_stopped:
            return
        tail.failures += 1
        # A single failed read can be caused by a keep-alive connection that the log has closed.
        if tail.failures > 1 or error is None or not error.byte_sent:
            self._are_reads_failing = True
            self._report_health()
            if self._pause_number:
                self.fire(log_reread(False, self._pause_number), "*")
        longest_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << min(tail.failures, 10))
        delay_ms = int(longest_ms * self._rng.uniform(0.5, 1.0))
        tail.retry = self._timers.after(delay_ms, lambda: self._read(tail))

    # Calls and health

    @handler("call_completed")
    def _on_call_completed(
        self, call_id: str, status: int, headers: Headers, body: bytes, error: HttpCallError | None
    ) -> None:
        if call_id in self._appends:
            self._append_completed(*self._appends.pop(call_id), status, body, error)
        elif call_id in self._reads:
            self._read_completed(self._reads.pop(call_id), status, body, error)

    @handler("drain_completed", channel="*")
    def _on_drain_completed(self, component: str) -> None:
        """End the tails once the requests have completed; appends continue."""
        if component == "requests":
            self._are_tails_stopped = True
            for call_id in list(self._reads):
                self.fire(http_cancel(call_id), "http_client")

    def _report_health(self) -> None:
        now_ms = self._clock.now_ms()
        available = not self._are_reads_failing and now_ms >= self._append_blocked_until_ms
        if available is self._available:
            return
        if self._available is not None or not available:
            log_event(logevents.LOG_AVAILABLE if available else logevents.LOG_UNAVAILABLE)
        self._available = available
        self.fire(log_health(available), "*")

    def _next_call_id(self) -> str:
        self._call_count += 1
        return f"log-{self._call_count}"

    def _call(
        self,
        call_id: str,
        method: str,
        stream: str,
        query: str,
        headers: Headers,
        body: bytes,
        timeout_ms: int = APPEND_TIMEOUT_MS,
    ) -> None:
        url = f"{self._url}/streams/{quote(stream, safe='')}/records{query}"
        deadline_ms = self._clock.now_ms() + timeout_ms
        call = HttpCall(call_id, method, url, headers, body, deadline_ms, self.channel)
        self.fire(http_call(call), "http_client")
