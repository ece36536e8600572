"""Claims of idempotency keys: connects the claim book with the log."""

from collections.abc import Sequence

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.idempotency import ClaimBook, Decided, Result, scope_of_key
from ibispaddle_core.settings import FleetConfig, InstanceSettings

from .events import claim_decided, drain_completed, log_append
from .platform_log import LogError, LogFailure, log_follow_since
from .timers import TimerHandle, TimerQueue

STREAM = "claims"
DRAIN_POLL_MS = 20


class Claims(BaseComponent):
    """Answer `claim_requested` with `claim_decided`; `claim_finished` records the result.

    The key is made by `scoped_key`. A decision is `Send`, `Replay` or `Refuse`. After `Send` exactly
    one `claim_finished(call_id, result)` is expected, with `CallCompleted`, `CallNotSent` or
    `CallUnknown`.
    """

    channel = "claims"

    def __init__(
        self, settings: InstanceSettings, boot: int, clock: Clock, timers: TimerQueue
    ) -> None:
        super().__init__()
        self._clock = clock
        self._timers = timers
        self.book = ClaimBook(
            f"{settings.instance_id}/{boot}",
            settings.claim_window_ms,
            settings.log_retention_ms,
            settings.claim_batch_interval_ms,
        )
        self._optional_time: frozenset[str] = frozenset()
        self._channels: dict[str, str] = {}
        self._log_available = False
        self._caught_up = False
        self._wakeup: TimerHandle | None = None
        self._draining = False

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self.fire(log_follow_since(STREAM, self.book.table.keep_ms, self.channel), "*")

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self._optional_time = frozenset(
            name for name, service in config.services.items() if service.key_time == "optional"
        )

    # Calls

    @handler("claim_requested", channel="*")
    def _on_claim_requested(
        self, call_id: str, key: str, request_hash: str, deadline_ms: int, channel: str
    ) -> None:
        self._channels[call_id] = channel
        _, service = scope_of_key(key)
        decided = self.book.request(
            call_id,
            key,
            request_hash,
            deadline_ms,
            self._clock.now_ms(),
            self._clock.wall_ms(),
            self._log_available and self._caught_up,
            service not in self._optional_time,
        )
        self._report(decided)

    @handler("claim_finished", channel="*")
    def _on_claim_finished(self, call_id: str, result: Result) -> None:
        self.book.finished(call_id, result, self._clock.now_ms())
        self._report([])

    def _report(self, decided: list[Decided]) -> None:
        for item in decided:
            channel = self._channels.pop(item.call_id, None)
            if channel is not None:
                self.fire(claim_decided(item.call_id, item.decision), channel)
        self._work()

    # Log

    @handler("log_health", channel="*")
    def _on_log_health(self, available: bool) -> None:
        self._log_available = available

    @handler("log_located")
    def _on_log_located(self, stream: str, offset: int, since_ms: int) -> None:
        self.book.table.skip_to(offset, since_ms)

    @handler("log_records")
    def _on_log_records(
        self, stream: str, records: Sequence[LogRecord], first_offset: int, next_offset: int
    ) -> None:
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        decided = self.book.read_page(first_offset, list(records), now_ms, wall_ms)
        if not self._caught_up and self.book.table.position >= next_offset:
            self._caught_up = True
        self._report(decided)

    @handler("log_appended")
    def _on_log_appended(self, token: str, offset: int | None, error: LogError | None) -> None:
        now_ms = self._clock.now_ms()
        decided: list[Decided] = []
        if error is None:
            self.book.queue.appended(token)
        elif error.may_have_taken_effect:
            self.book.queue.answer_lost(token, now_ms)
        else:
            outage = error.failure is not LogFailure.RATE
            decided = self.book.append_refused(token, now_ms, outage)
        self._report(decided)

    # Work that time brings

    def _work(self) -> None:
        """Append what is due and set the next wake-up."""
        now_ms = self._clock.now_ms()
        batch = self.book.queue.next_batch(now_ms)
        if batch is not None:
            batch_id, data = batch
            self.fire(log_append(STREAM, data, batch_id, self.channel), "*")
        times = (self.book.queue.next_due_ms(), self.book.next_deadline_ms())
        due_ms = min((time_ms for time_ms in times if time_ms is not None), default=None)
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._wakeup = None if due_ms is None else self._timers.at(due_ms, self._wake)

    def _wake(self) -> None:
        self._wakeup = None
        self._report(self.book.tick(self._clock.now_ms()))

    # Planned stop

    @handler("drain_completed", channel="*")
    def _on_drain_completed(self, component: str) -> None:
        if component == "requests" and not self._draining:
            self._draining = True
            self._check_drained()

    def _check_drained(self) -> None:
        if len(self.book.queue):
            self._timers.after(DRAIN_POLL_MS, self._check_drained)
        else:
            self.fire(drain_completed(self.channel), "*")
