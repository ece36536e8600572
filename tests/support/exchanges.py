"""Fakes of a caller's exchange and of the HTTP client."""

from ibispaddle_core.forwarding import pause_limit, resume_limit
from ibispaddle_daemon.events import Headers, HttpCall, find_header


class FakeHttpClient:
    """Records the calls that are started and cancelled."""

    def __init__(self) -> None:
        self.calls: list[HttpCall] = []
        self.cancelled: list[str] = []
        self.paused: list[str] = []

    def start_call(self, call: HttpCall) -> None:
        self.calls.append(call)

    def cancel_call(self, call_id: str) -> None:
        self.cancelled.append(call_id)

    def pause_call(self, call_id: str) -> None:
        self.paused.append(call_id)

    def resume_call(self, call_id: str) -> None:
        self.paused.remove(call_id)


class FakeExchange:
    """Records what is written to a caller; like a real exchange, it ignores writes after its end."""

    arrived_ms = 0
    unsent_bytes = 0
    is_closed = False
    delegated_call = None
    is_upstream_waiting = False
    close_reason = ""
    room = 100_000_000

    def __init__(self, path: str, headers: Headers = (), method: str = "POST") -> None:
        self.method, self.target, self.path, self.headers = method, path, path, headers
        self.body = b"{}"
        self.status = 0
        self.answer_headers: Headers = ()
        self.sent = b""
        self.ended = self.aborted = 0
        self.on_closed = self.on_drained = None

    @property
    def is_response_started(self) -> bool:
        return self.status != 0

    def header(self, name: str) -> str | None:
        return find_header(self.headers, name)

    def must_pause(self, max_unsent_bytes: int) -> bool:
        return self.unsent_bytes > pause_limit(max_unsent_bytes, self.room)

    def may_resume(self, max_unsent_bytes: int) -> bool:
        return self.unsent_bytes <= resume_limit(max_unsent_bytes, self.room)

    def start(self, status: int, headers: Headers) -> None:
        if not self.is_response_started:
            self.status, self.answer_headers = status, headers

    def write(self, data: bytes) -> None:
        if not self.ended and not self.aborted:
            self.sent += data

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        if not self.is_response_started:
            self.start(status, headers)
            self.write(body)
            self.end()

    def end(self) -> None:
        if not self.aborted:
            self.ended += 1

    def abort(self) -> None:
        if not self.ended:
            self.aborted += 1
