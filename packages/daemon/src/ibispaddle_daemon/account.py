"""Usage totals, read from the log on request, and rollups that keep them beyond its retention."""

from collections.abc import Callable
from typing import Any

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.membership import MembershipView
from ibispaddle_core.settings import InstanceSettings
from ibispaddle_core.usage import Counts, UsageAggregateReader, UsageRecord, instance_boot

from .calls import CallbackHttpClient, CallResult
from .configuration import Configuration
from .events import MAX_BUFFERED_BODY_BYTES, CallFailure
from .http_exchange import Exchange
from .operators import RETRY_AFTER_MS, OperatorEndpoints, respond_json
from .responses import respond_error
from .rollups import RollupWriter
from .timers import TimerQueue
from .usage import USAGE_STREAM

# A page is aggregated in one turn of the event loop, which delays other work. The size of the next
# page is therefore adapted to the time that the last one took.
FIRST_PAGE_RECORDS = 50
# A single rollup part takes about `MAX_PAGE_MS`.
MIN_PAGE_RECORDS = 1
MAX_PAGE_RECORDS = 500
MAX_PAGE_MS = 5
PAGE_TIMEOUT_MS = 5_000
# Less than the 15 s request timeout of the operators' client. A longer read is answered with status
# 503 and continued by the next request.
READ_TIMEOUT_MS = 10_000
ROLLUP_CHECKS_PER_RETENTION = 16

OnRead = Callable[[str], None]


class _Page(msgspec.Struct):
    first_offset: int
    next_offset: int
    records: list[UsageRecord]


_DECODER = msgspec.json.Decoder(_Page)


class UsageReporter(BaseComponent):
    """Serve `/operator/usage`, and append rollups while this instance has rank 0.

    The stream is read only for operator requests and for rollups that are due. Each read continues
    at the position where the last one ended.
    """

    channel = "usage_account"

    def __init__(
        self,
        settings: InstanceSettings,
        operators: OperatorEndpoints,
        configuration: Configuration,
        view: MembershipView,
        boot: int,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._configuration = configuration
        self._view = view
        self._clock = clock
        self._timers = timers
        self._url = f"{settings.log_url.rstrip('/')}/streams/{USAGE_STREAM}/records"
        self._calls = CallbackHttpClient("usage_account_calls", clock).register(self)
        self._writer_id = instance_boot(settings.instance_id, boot)
        self._rollups = RollupWriter(settings.log_retention_ms, clock, timers).register(self)
        self._read_callbacks: list[OnRead] = []
        self._deadline_ms = 0
        self._page_records = FIRST_PAGE_RECORDS
        self.reader = UsageAggregateReader()
        operators.add_endpoint("GET", "/operator/usage", self._show_usage)

    # Operator requests

    def _show_usage(self, exchange: Exchange) -> None:
        self._read(lambda error: self._respond_usage(exchange, error))

    def _respond_usage(self, exchange: Exchange, error: str) -> None:
        if error:
            text = f"The usage stream cannot be read: {error}."
            unavailable = ProtocolError(503, "log_unavailable", text, retry_after_ms=RETRY_AFTER_MS)
            respond_error(exchange, unavailable)
            return
        config = self._configuration.config
        workspaces = config.workspaces if config else {}
        rows: list[dict[str, Any]] = []
        neighbours: dict[str, Counts] = {}
        for name, counts in sorted(self.reader.aggregate.totals().items()):
            # A workspace that was removed from the configuration no longer has a neighbour.
            neighbour = workspaces[name].neighbour if name in workspaces else None
            rows.append({"workspace": name, "neighbour": neighbour, **_encode_counts(counts)})
            if neighbour is not None:
                neighbours[neighbour] = neighbours.get(neighbour, Counts()).add(counts)
        body = {
            "as_of": self.reader.position - 1,
            "complete": self.reader.complete,
            "neighbours": [
                {"neighbour": name, **_encode_counts(counts)}
                for name, counts in sorted(neighbours.items())
            ],
            "workspaces": rows,
        }
        respond_json(exchange, 200, body)

    # Reads

    def _read(self, on_read: OnRead) -> None:
        """Read to the end of the stream; `on_read` receives an error text, empty on success."""
        self._read_callbacks.append(on_read)
        if len(self._read_callbacks) == 1:
            self._deadline_ms = self._clock.now_ms() + READ_TIMEOUT_MS
            self._read_page()

    def _read_page(self) -> None:
        remaining_ms = self._deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            self._finish_read(f"the end was not reached within {READ_TIMEOUT_MS} ms")
            return
        url = f"{self._url}?from={self.reader.position}&limit={self._page_records}"
        timeout_ms = min(remaining_ms, PAGE_TIMEOUT_MS)
        self._calls.send(
            "GET",
            url,
            b"",
            timeout_ms,
            self._process_page,
            MAX_BUFFERED_BODY_BYTES,
            may_reuse_connection=True,
        )

    def _process_page(self, result: CallResult) -> None:
        is_too_large = result.failure is CallFailure.TOO_LARGE
        if is_too_large and self._page_records > MIN_PAGE_RECORDS:
            self._page_records //= 2
            self._read_page()
            return
        if result.error is not None or result.status != 200:
            self._finish_read(
                str(result.error.failure) if result.error else f"status {result.status}"
            )
            return
        started_ms = self._clock.now_ms()
        try:
            page = _DECODER.decode(result.body)
        except DECODE_ERRORS as exc:
            self._finish_read(f"the log's response is not a valid page of records: {exc}")
            return
        self.reader.read_page(page.first_offset, page.records)
        self._choose_page_size(self._clock.now_ms() - started_ms)
        if page.records and self.reader.position < page.next_offset:
            self._read_page()
        else:
            self._finish_read("")

    def _choose_page_size(self, elapsed_ms: int) -> None:
        if elapsed_ms > MAX_PAGE_MS:
            self._page_records = max(MIN_PAGE_RECORDS, self._page_records // 2)
        elif elapsed_ms <= MAX_PAGE_MS // 2:
            self._page_records = min(MAX_PAGE_RECORDS, self._page_records * 2)

    def _finish_read(self, error: str) -> None:
        callbacks, self._read_callbacks = self._read_callbacks, []
        for on_read in callbacks:
            on_read(error)

    # Rollups

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._schedule_check()

    def _schedule_check(self) -> None:
        interval_ms = self._settings.log_retention_ms // ROLLUP_CHECKS_PER_RETENTION
        self._timers.after(interval_ms, self._check_rollup)

    def _check_rollup(self) -> None:
        self._schedule_check()
        # No read is needed while the latest rollup is recent enough. Incomplete totals can become
        # complete through a rollup that another instance has appended.
        reader = self.reader
        needs_read = not reader.complete or reader.aggregate.as_of < 0 or self._is_rollup_due()
        if needs_read and not self._rollups.is_active and self._has_rank_0():
            self._read(self._append_rollup)

    def _append_rollup(self, error: str) -> None:
        if not error and self._is_rollup_due():
            self._rollups.write(self.reader.aggregate.to_rollup(self._writer_id))

    def _is_rollup_due(self) -> bool:
        return self.reader.is_rollup_due(self._clock.wall_ms(), self._settings.log_retention_ms)

    def _has_rank_0(self) -> bool:
        ranked = self._view.ranked_instances(self._clock.now_ms())
        return bool(ranked) and ranked[0] == self._settings.instance_id


def _encode_counts(counts: Counts) -> dict[str, int]:
    return {
        "requests": counts.requests,
        "prompt_tokens": counts.prompt_tokens,
        "generated_tokens": counts.generated_tokens,
        "engine_ms": counts.engine_ms,
    }
