"""A forwarder with one route and a client that records calls."""

from collections.abc import Sequence
from types import SimpleNamespace

from circuits import BaseComponent
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.forwarding import ResponseHead
from ibispaddle_core.membership import ListedState, ListEntry, MemberKind
from ibispaddle_core.routing import Route, RoutingConfig, Target
from ibispaddle_core.scheduling import RetryPolicy
from ibispaddle_core.settings import FleetConfig
from ibispaddle_daemon.contacts import UpstreamContacts
from ibispaddle_daemon.engine_memory import EngineApiMemoryCodec
from ibispaddle_daemon.events import Headers, exchange_started, list_changed
from ibispaddle_daemon.forwarding import Forwarder
from ibispaddle_daemon.forwarding.codec import CallerRequest, UpstreamCall
from ibispaddle_daemon.metrics import Metrics
from ibispaddle_daemon.timers import TimerQueue

from tests.support.exchanges import FakeExchange, FakeHttpClient

TIMEOUT_MS = 1_000
HEAD = (("Receipt", "x"),)


class FakeCodec:
    """A codec with a separate plain header for each value."""

    liveness_path = None

    def read_request(self, headers: Headers) -> CallerRequest:
        values = dict(headers)
        parts = tuple(filter(None, values.get("parts", "").split(",")))
        return CallerRequest(
            values.get("id", "a1"),
            "h",
            prompt_tokens=100,
            max_output_tokens=5,
            prompt_parts=parts,
        )

    def upstream_headers(self, headers: Headers, call: UpstreamCall) -> Headers:
        return (("id", call.attempt_id), ("left", str(call.time_left_ms)))

    def delegated_headers(
        self, headers: Headers, time_left_ms: int, last_event_id: int | None = None
    ) -> Headers:
        kept = tuple(item for item in headers if item[0] != "left")
        last = (("last", str(last_event_id)),) if last_event_id is not None else ()
        return (*kept, ("left", str(time_left_ms)), *last)

    def read_head(self, status: int, headers: Headers, attempt_id: str) -> ResponseHead:
        values = dict(headers)
        return ResponseHead(status, headers, not_run="not-run" in values, is_authentic=True)

    def refusal_headers(self, retry_after_ms: int) -> Headers:
        return (("retry", str(retry_after_ms)),) if retry_after_ms else ()


def streams(retry_policy: RetryPolicy = RetryPolicy.PROVED_NOT_RUN, **values: object) -> Route:
    """Return a streaming route."""
    fields: dict = {"timeout_ms": TIMEOUT_MS, "ttft_objective_ms": 300, "streams": True}
    return Route("r", "h", "/", (Target("s"),), retry_policy=retry_policy, **fields | values)


class ForwarderFixture:
    """A forwarder with a manual clock, one route and some upstreams."""

    def __init__(
        self,
        route: Route,
        upstreams: Sequence[str] = ("u1", "u2"),
        contacts: UpstreamContacts | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.timers = TimerQueue(self.clock)
        self.client = FakeHttpClient()
        self.forwarder = Forwarder(
            "i",
            self.client,
            FakeCodec(),
            EngineApiMemoryCodec(),
            self.clock,
            self.timers,
            Metrics(),
            contacts=contacts,
        )
        self.root = BaseComponent()
        for component in (self.timers, self.forwarder):
            component.register(self.root)
        self.forwarder.replace_config(RoutingConfig(1, (route,)), FleetConfig())
        self.list_upstreams(*upstreams)

    def list_upstreams(self, *names: str) -> None:
        entries = tuple(
            ListEntry(name, MemberKind.RUNNER, f"{name}:1", "dc1", ListedState.LIVE, models=("s",))
            for name in names
        )
        self.fire(list_changed(entries), "*")

    def fire(self, event: object, channel: str) -> None:
        self.root.fire(event, channel)
        self.flush()

    def flush(self) -> None:
        while len(self.root):
            self.root.flush()

    def advance(self, duration_ms: int) -> None:
        """Advance the clock, then run the timers that are due."""
        self.clock.advance(duration_ms)
        event = SimpleNamespace(reduce_time_left=lambda left_s: None)
        self.timers._on_generate_events(event)
        self.flush()

    def send(self, attempt_id: str = "a1", parts: str = "") -> FakeExchange:
        """Simulate a request of a caller; `parts` are separated by commas."""
        exchange = FakeExchange("/x", (("id", attempt_id), ("parts", parts)))
        exchange.body = attempt_id.encode()
        exchange.arrived_ms = self.clock.now_ms()
        self.fire(exchange_started(exchange), "forwarder")
        return exchange

    def answer(self, data: bytes, *, number: int = -1, is_complete: bool = False) -> None:
        """Simulate an upstream's response to a call, with status 200 and some body bytes."""
        call = self.client.calls[number]
        call.sink.call_head(call.call_id, 200, HEAD)
        call.sink.call_data(call.call_id, data)
        if is_complete:
            call.sink.call_ended(call.call_id, None)
        self.flush()
