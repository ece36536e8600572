"""Detection of upstreams that crashed while they were handling a request."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from circuits import BaseComponent
from ibispaddle_core.clock import Clock

from ..calls import CallbackHttpClient, CallResult
from ..contacts import UncheckedContacts, UpstreamContacts
from ..events import CallFailure
from ..timers import TimerQueue
from .codec import ForwardingCodec

# Timeout of the check whether an upstream is still running, during which the request's retry waits.
LIVENESS_TIMEOUT_MS = 150
# Time for which a refused connection waits for a contact with another upstream.
CONTACT_TIMEOUT_MS = 200
CONTACT_CHECK_INTERVAL_MS = 10
# Times from one check of an upstream that does not respond to the next. Each check waits for a response
# until the next one is due. Together they cover the restart of a process whose supervisor keeps
# accepting connections meanwhile: the next process answers the check that is waiting.
RECHECK_DELAYS_MS = (250, 500, 1_000, 2_000, 4_000)

# Called with whether the upstream has crashed.
CrashCallback = Callable[[bool], None]


class _Verdict(Enum):
    CRASHED = auto()
    RUNNING = auto()
    UNKNOWN = auto()  # No response, or one that does not tell.


@dataclass(eq=False)
class _Check:
    """The checks of one process, and what to call with their verdict."""

    address: str
    boot_ms: int | None
    upstream_id: str
    callbacks: list[CrashCallback] = field(default_factory=list)
    late_callbacks: list[Callable[[], None]] = field(default_factory=list)
    rechecks: int = 0
    sent_ms: int = 0
    refused_ms: int | None = None  # Start of the first refused call since the last other result.


class CrashDetector(BaseComponent):
    """Check whether an upstream whose connection broke has crashed.

    It has if its host answers that no process listens at the address, or if the process there was started
    later. Behind a cut that resets connections, every upstream refuses them, so a refusal counts only if
    another upstream was reached since, and this one refuses again. An upstream that does not respond may
    be slow or unreachable and does not count as crashed; it is checked again for some seconds, because the
    next process may be starting behind a socket that already accepts connections.
    """

    channel = "crash_detector"

    def __init__(
        self,
        codec: ForwardingCodec,
        clock: Clock,
        timers: TimerQueue,
        contacts: UpstreamContacts | None = None,
    ) -> None:
        super().__init__()
        self._contacts = contacts or UncheckedContacts()
        self._codec, self._clock, self._timers = codec, clock, timers
        self._checks: dict[tuple[str, int | None], _Check] = {}
        self._calls = CallbackHttpClient("crash_detector_calls", clock).register(self)

    @property
    def is_supported(self) -> bool:
        """Return whether upstreams report on themselves."""
        return self._codec.liveness_path is not None

    def check(
        self,
        address: str,
        boot_ms: int | None,
        callback: CrashCallback,
        late_callback: Callable[[], None] = lambda: None,
        upstream_id: str = "",
    ) -> None:
        """Call `callback` within two liveness timeouts and a contact timeout; False if unknown so far.

        `late_callback` is called if a crash is proved after that. `boot_ms` is the start of the process
        that received the request, if known. Concurrent checks of the same process cause a single call.
        """
        key = (address, boot_ms)
        check = self._checks.get(key)
        if check is not None and check.rechecks:
            # The first response is known to be missing, so the caller does not wait for the next one.
            check.late_callbacks.append(late_callback)
            callback(False)
            return
        if check is None:
            check = self._checks[key] = _Check(address, boot_ms, upstream_id)
            self._send(check, LIVENESS_TIMEOUT_MS)
        check.callbacks.append(callback)
        check.late_callbacks.append(late_callback)

    def _send(self, check: _Check, timeout_ms: int) -> None:
        check.sent_ms = self._clock.now_ms()
        url = f"http://{check.address}{self._codec.liveness_path}"
        self._calls.send("GET", url, b"", timeout_ms, lambda result: self._on_result(check, result))

    def _send_again(self, check: _Check) -> None:
        check.refused_ms = None
        following = RECHECK_DELAYS_MS[check.rechecks :] or RECHECK_DELAYS_MS[-1:]
        self._send(check, following[0])

    def _on_result(self, check: _Check, result: CallResult) -> None:
        if result.error is not None and result.error.is_refused:
            self._on_refused(check)
            return
        if result.error is None:
            self._contacts.record_contact(check.upstream_id, check.sent_ms)
        self._decide(check, self._verdict(result, check.boot_ms))

    def _on_refused(self, check: _Check) -> None:
        if check.refused_ms is None:
            check.refused_ms = check.sent_ms
        if self._contacts.reaches_others(check.upstream_id, check.refused_ms):
            self._decide(check, _Verdict.CRASHED)
            return
        self._contacts.seek_contact()
        self._await_contact(check, check.refused_ms, self._clock.now_ms() + CONTACT_TIMEOUT_MS)

    def _await_contact(self, check: _Check, since_ms: int, until_ms: int) -> None:
        if self._contacts.reaches_others(check.upstream_id, since_ms):
            # A cut may have ended since the refusal.
            self._send(check, LIVENESS_TIMEOUT_MS)
        elif self._clock.now_ms() >= until_ms:
            self._decide(check, _Verdict.UNKNOWN)
        else:
            self._timers.after(
                CONTACT_CHECK_INTERVAL_MS, lambda: self._await_contact(check, since_ms, until_ms)
            )

    def _decide(self, check: _Check, verdict: _Verdict) -> None:
        is_late = check.rechecks > 0
        if verdict is _Verdict.UNKNOWN and check.rechecks < len(RECHECK_DELAYS_MS):
            due_ms = check.sent_ms + RECHECK_DELAYS_MS[check.rechecks]
            self._timers.at(due_ms, lambda: self._send_again(check))
            check.rechecks += 1
        else:
            del self._checks[(check.address, check.boot_ms)]
        callbacks, check.callbacks = check.callbacks, []
        for callback in callbacks:
            callback(verdict is _Verdict.CRASHED)
        if is_late and verdict is _Verdict.CRASHED:
            for late_callback in check.late_callbacks:
                late_callback()

    def _verdict(self, result: CallResult, boot_ms: int | None) -> _Verdict:
        if result.error is not None:
            if result.error.failure is CallFailure.PROTOCOL:
                return _Verdict.RUNNING
            return _Verdict.UNKNOWN
        current_ms = self._codec.read_boot(result.body) if result.status == 200 else None
        if boot_ms is None or current_ms is None or current_ms == boot_ms:
            return _Verdict.RUNNING
        return _Verdict.CRASHED
