"""Detection of upstreams that crashed while they were handling a request."""

from collections.abc import Callable

from circuits import BaseComponent
from ibispaddle_core.clock import Clock

from ..calls import CallbackHttpClient, CallResult
from .codec import ForwardingCodec

# Timeout of the check whether an upstream is still running, during which the request's retry waits.
LIVENESS_TIMEOUT_MS = 150

# Called with whether the upstream has crashed.
CrashCallback = Callable[[bool], None]


class CrashDetector(BaseComponent):
    """Check whether an upstream whose connection broke has crashed.

    It has if its host answers that no process listens at the address, or if the process there was started
    later. An upstream that does not respond may be slow or unreachable and does not count as crashed.
    """

    channel = "crash_detector"

    def __init__(self, codec: ForwardingCodec, clock: Clock) -> None:
        super().__init__()
        self._codec = codec
        self._callbacks: dict[tuple[str, int | None], list[CrashCallback]] = {}
        self._calls = CallbackHttpClient("crash_detector_calls", clock).register(self)

    @property
    def is_supported(self) -> bool:
        """Return whether upstreams report on themselves."""
        return self._codec.liveness_path is not None

    def check(self, address: str, boot_ms: int | None, callback: CrashCallback) -> None:
        """Call `callback` within `LIVENESS_TIMEOUT_MS`.

        `boot_ms` is the start of the process that received the request, if known. Concurrent checks of
        the same process cause a single call.
        """
        key = (address, boot_ms)
        if key in self._callbacks:
            self._callbacks[key].append(callback)
            return
        self._callbacks[key] = [callback]

        def done(result: CallResult) -> None:
            has_crashed = self._proves_crash(result, boot_ms)
            for waiting in self._callbacks.pop(key):
                waiting(has_crashed)

        url = f"http://{address}{self._codec.liveness_path}"
        self._calls.send("GET", url, b"", LIVENESS_TIMEOUT_MS, done)

    def _proves_crash(self, result: CallResult, boot_ms: int | None) -> bool:
        if result.error is not None:
            return result.error.is_refused
        current_ms = self._codec.read_boot(result.body) if result.status == 200 else None
        return boot_ms is not None and current_ms is not None and current_ms != boot_ms
