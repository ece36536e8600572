"""Probes of upstreams, which show whether this instance reaches any."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.membership import ListEntry, MemberKind

from ..contacts import MAX_LOOP_DELAY_MS
from ..events import CallFailure, Headers, HttpCall, HttpCallError, http_call, http_cancel
from ..forwarding import ForwardingCodec
from ..timers import TimerHandle, TimerQueue
from .isolation import Isolation

TICK_INTERVAL_MS = 50
# Upstreams answer a status request within milliseconds, except on a busy machine.
PROBE_TIMEOUT_MS = 400
# Time without a response after which other upstreams are probed as well.
LATE_MS = 100
MAX_EXTENSIONS = 3
LONGEST_CALL_MS = 5_000  # The prober ends the calls sooner.
# Interval at which a changed list of upstreams is taken over.
LIST_INTERVAL_MS = 500
# Failures of calls in which the upstream has sent something.
_ANSWERED = frozenset({CallFailure.PROTOCOL, CallFailure.TOO_LARGE})
# Failures of calls that are due to this instance.
_OWN_FAILURES = frozenset({CallFailure.BUSY, CallFailure.CANCELLED})
_NUMBERS = itertools.count(1)


@dataclass(eq=False)
class _Probe:
    upstream_id: str
    started_ms: int
    late_timer: TimerHandle | None = None
    timeout_timer: TimerHandle | None = None


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
        self._probes: dict[str, _Probe] = {}  # In flight, by call.
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
        call_id = f"probe-{next(_NUMBERS)}"
        now_ms = self._clock.now_ms()
        probe = self._probes[call_id] = _Probe(upstream_id, now_ms)
        probe.late_timer = self._timers.at(
            now_ms + LATE_MS, lambda: self._isolation.record_silence(upstream_id)
        )
        self._schedule_timeout(call_id, probe, now_ms + PROBE_TIMEOUT_MS)
        call = HttpCall(
            call_id,
            "GET",
            f"http://{self._addresses[upstream_id]}{self._path}",
            (),
            b"",
            now_ms + LONGEST_CALL_MS,
            self.channel,
            stream=True,
            sink=self,
            may_reuse_connection=False,
        )
        self.fire(http_call(call), "http_client")

    def _schedule_timeout(
        self, call_id: str, probe: _Probe, due_ms: int, extensions: int = 0
    ) -> None:
        def check() -> None:
            now_ms = self._clock.now_ms()
            if now_ms - due_ms > MAX_LOOP_DELAY_MS and extensions < MAX_EXTENSIONS:
                self._schedule_timeout(call_id, probe, now_ms + LATE_MS, extensions + 1)
            elif self._end(call_id) is not None:
                text = f"no response within {now_ms - probe.started_ms} ms"
                self._isolation.record_unreachable(probe.upstream_id, text)

        probe.timeout_timer = self._timers.at(due_ms, check)

    def _end(self, call_id: str) -> _Probe | None:
        """Close the connection of a probe, and return the probe unless it had ended."""
        probe = self._probes.pop(call_id, None)
        if probe is not None:
            for timer in (probe.late_timer, probe.timeout_timer):
                if timer is not None:
                    timer.cancel()
            self.fire(http_cancel(call_id), "http_client")
        return probe

    # Callbacks of the HTTP client

    def call_sent(self, call_id: str) -> None:
        """Ignore that the first byte of the request was written."""

    def call_head(self, call_id: str, status: int, headers: Headers) -> None:
        """Record a contact; the rest of the response may never end."""
        probe = self._end(call_id)
        if probe is not None:
            self._isolation.record_contact(probe.upstream_id, probe.started_ms)

    def call_data(self, call_id: str, data: bytes) -> None:
        """Ignore the body."""

    def call_ended(self, call_id: str, error: HttpCallError | None) -> None:
        """Record what the end of a call without a response shows."""
        probe = self._end(call_id)
        if probe is None or error is None:
            return
        if error.failure in _ANSWERED:
            self._isolation.record_contact(probe.upstream_id, probe.started_ms)
        elif error.failure in _OWN_FAILURES:
            self._isolation.cancel_probe(probe.upstream_id)
        else:
            text = f"{error.failure}: {error.text}"
            self._isolation.record_unreachable(probe.upstream_id, text)
