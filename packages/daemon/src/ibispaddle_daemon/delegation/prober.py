"""Probes of upstreams, which show whether this instance reaches any."""

from collections.abc import Sequence

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.membership import ListEntry, MemberKind

from ..calls import CallbackHttpClient, CallResult
from ..events import CallFailure
from ..forwarding import ForwardingCodec
from ..timers import TimerHandle, TimerQueue
from .isolation import Isolation

TICK_INTERVAL_MS = 50
# Upstreams answer a status request within milliseconds, except on a busy machine.
PROBE_TIMEOUT_MS = 400
# Time without a response after which other upstreams are probed as well.
LATE_MS = 100
# Delay of the own event loop from which a response may wait to be read, so that the timeout is extended.
MAX_LOOP_DELAY_MS = 60
MAX_EXTENSIONS = 3
LONGEST_CALL_MS = 5_000  # The prober ends the calls sooner.
# Interval at which a changed list of upstreams is taken over.
LIST_INTERVAL_MS = 500
# Failures of calls in which the upstream has sent something.
_ANSWERED = frozenset({CallFailure.PROTOCOL, CallFailure.TOO_LARGE})
# Failures of calls that are due to this instance.
_OWN_FAILURES = frozenset({CallFailure.BUSY, CallFailure.CANCELLED})


class Prober(BaseComponent):
    """Probe the upstreams that the instance's reachability depends on.

    Each probe has a connection of its own, because connections may outlive a cut that refuses new ones.
    """

    channel = "prober"

    def __init__(
        self, isolation: Isolation, codec: ForwardingCodec, clock: Clock, timers: TimerQueue
    ) -> None:
        super().__init__()
        self._isolation, self._clock, self._timers = isolation, clock, timers
        self._path = codec.liveness_path
        self._calls = CallbackHttpClient("prober_calls", clock).register(self)
        self._entries: Sequence[ListEntry] = ()
        self._is_list_new = False
        self._list_due_ms = 0
        self._addresses: dict[str, str] = {}
        if self._path is not None:
            isolation.on_suspicion = self._probe

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        if self._path is not None:
            self._tick()

    @handler("list_changed", channel="*")
    def _on_list_changed(self, entries: Sequence[ListEntry]) -> None:
        self._entries, self._is_list_new = entries, True

    def _tick(self) -> None:
        self._timers.after(TICK_INTERVAL_MS, self._tick)
        now_ms = self._clock.now_ms()
        if self._is_list_new and now_ms >= self._list_due_ms:
            self._is_list_new, self._list_due_ms = False, now_ms + LIST_INTERVAL_MS
            self._apply_list()
        self._probe()

    def _apply_list(self) -> None:
        upstreams = [entry for entry in self._entries if entry.kind is not MemberKind.ENTRY]
        self._addresses = {entry.id: entry.address for entry in upstreams}
        self._isolation.replace_upstreams(
            {entry.id: entry.models[0] if entry.models else "" for entry in upstreams},
            {entry.id: entry.data_centre for entry in upstreams},
        )

    def _probe(self) -> None:
        for upstream_id in self._isolation.upstreams_to_probe():
            self._send(upstream_id)

    def _send(self, upstream_id: str) -> None:
        started_ms = self._clock.now_ms()
        silence_ms = started_ms + LATE_MS
        late = self._timers.at(silence_ms, lambda: self._isolation.record_silence(upstream_id))
        timeout: TimerHandle

        def schedule_timeout(due_ms: int, extensions: int = 0) -> None:
            nonlocal timeout
            timeout = self._timers.at(due_ms, lambda: check(due_ms, extensions))

        def check(due_ms: int, extensions: int) -> None:
            now_ms = self._clock.now_ms()
            if now_ms - due_ms > MAX_LOOP_DELAY_MS and extensions < MAX_EXTENSIONS:
                schedule_timeout(now_ms + LATE_MS, extensions + 1)
                return
            self._calls.cancel(call_id)
            text = f"no response within {now_ms - started_ms} ms"
            self._isolation.record_unreachable(upstream_id, text)

        def on_result(result: CallResult) -> None:
            late.cancel()
            timeout.cancel()
            self._handle_result(upstream_id, started_ms, result)

        url = f"http://{self._addresses[upstream_id]}{self._path}"
        call_id = self._calls.send("GET", url, b"", LONGEST_CALL_MS, on_result)
        schedule_timeout(started_ms + PROBE_TIMEOUT_MS)

    def _handle_result(self, upstream_id: str, started_ms: int, result: CallResult) -> None:
        error = result.error
        if error is None or error.failure in _ANSWERED:
            self._isolation.record_contact(upstream_id, started_ms)
        elif error.failure in _OWN_FAILURES:
            self._isolation.cancel_probe(upstream_id)
        else:
            self._isolation.record_unreachable(upstream_id, f"{error.failure}: {error.text}")
