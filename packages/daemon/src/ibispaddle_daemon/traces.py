"""Spans of recent requests, kept in memory for operators."""

import re
from collections import OrderedDict
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.gossip import StateReply, StateRequest
from ibispaddle_core.membership import MembershipView
from opentelemetry.context import Context
from opentelemetry.sdk.trace import ReadableSpan, Span, SpanProcessor

from .events import peer_send
from .http_exchange import Exchange
from .operators import OperatorEndpoints
from .peer_codec import Message
from .responses import JSON, respond_error
from .timers import TimerHandle, TimerQueue

COMPONENT = "traces"
# At 28 requests/s an instance keeps the last two to three minutes.
MAX_TRACES = 4_000
MAX_BYTES = 4_194_304
# Keys and table entries of a kept trace; 336 bytes were measured in CPython 3.11.
OVERHEAD_BYTES = 350
FETCH_TIMEOUT_MS = 2_000
RETRY_AFTER_MS = 1_000
REQUEST_ID = re.compile(r"(?P<instance>.+)-[0-9a-f]{8}-s?[0-9]+", re.ASCII)
MAX_ID_CHARACTERS = 300
PREFIX = "ibispaddle."
# Other attributes and the text of a status are left out: an upstream's error may quote the prompt.
SHOWN = ("workspace", "upstream", "outcome", "code", "tokens", "attempts")


class RecentTraces(SpanProcessor):
    """Keep the spans of finished requests; the oldest requests are dropped first.

    A request's span is one that carries its id. Its children are the calls to upstreams; one that
    ends later than the request is added to it.
    """

    def __init__(
        self, instance_id: str, max_traces: int = MAX_TRACES, max_bytes: int = MAX_BYTES
    ) -> None:
        self._instance_id = instance_id
        self._max_traces = max_traces
        self._max_bytes = max_bytes
        self._open: dict[int, list[dict[str, Any]]] = {}  # Ended calls of requests in flight.
        self._kept: OrderedDict[str, tuple[int, bytes]] = OrderedDict()
        self._names: dict[int, str] = {}  # Request ids by the id of the request's span.
        self.bytes_kept = 0

    def __len__(self) -> int:
        return len(self._kept)

    def get(self, request_id: str) -> bytes | None:
        """Return the encoded trace of a finished request, None if it is not kept."""
        found = self._kept.get(request_id)
        return found[1] if found else None

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Note the span of a request."""
        if span.parent is None or span.parent.is_remote:
            self._open[_own_id(span)] = []

    def on_end(self, span: ReadableSpan) -> None:
        """Keep the trace of a request that ended, or add a call to its request."""
        own_id = _own_id(span)
        calls = self._open.pop(own_id, None)
        if calls is not None:
            self._keep(span, own_id, calls)
            return
        parent_id = span.parent.span_id if span.parent else 0
        if parent_id in self._open:
            self._open[parent_id].append(_fields(span))
        elif parent_id in self._names:
            request_id = self._names[parent_id]
            trace = msgspec.json.decode(self._kept[request_id][1])
            trace["spans"].append(_fields(span))
            self._put(request_id, parent_id, trace)

    def _keep(self, span: ReadableSpan, own_id: int, calls: list[dict[str, Any]]) -> None:
        request_id = (span.attributes or {}).get(f"{PREFIX}request_id")
        if not isinstance(request_id, str):
            return
        context = span.get_span_context()
        assert context is not None
        trace = {
            "request_id": request_id,
            "instance": self._instance_id,
            "trace_id": f"{context.trace_id:032x}",
            "spans": [_fields(span) | {"parent_span_id": None}, *calls],
        }
        self._put(request_id, own_id, trace)

    def _put(self, request_id: str, own_id: int, trace: dict[str, Any]) -> None:
        known = self._kept.get(request_id)
        if known is not None:
            self.bytes_kept -= len(known[1]) + OVERHEAD_BYTES
        data = msgspec.json.encode(trace)
        self._kept[request_id] = (own_id, data)
        self._names[own_id] = request_id
        self.bytes_kept += len(data) + OVERHEAD_BYTES
        while len(self._kept) > self._max_traces or self.bytes_kept > self._max_bytes:
            _, (old_id, old) = self._kept.popitem(last=False)
            del self._names[old_id]
            self.bytes_kept -= len(old) + OVERHEAD_BYTES


def _own_id(span: ReadableSpan) -> int:
    context = span.get_span_context()
    return context.span_id if context else 0


def _fields(span: ReadableSpan) -> dict[str, Any]:
    attributes = span.attributes or {}
    start_ns, end_ns = span.start_time or 0, span.end_time or 0
    shown = {name: attributes[PREFIX + name] for name in SHOWN if PREFIX + name in attributes}
    return {
        "span_id": f"{_own_id(span):016x}",
        "parent_span_id": f"{span.parent.span_id:016x}" if span.parent else None,
        "name": span.name,
        "start_time_ms": round(start_ns / 1_000_000, 3),
        "duration_ms": round((end_ns - start_ns) / 1_000_000, 3),
        **shown,
    }


class TraceEndpoint(BaseComponent):
    """Answer `/operator/trace`; a trace of another instance is fetched from there."""

    channel = COMPONENT

    def __init__(
        self,
        instance_id: str,
        recent: RecentTraces,
        operators: OperatorEndpoints,
        view: MembershipView,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._recent = recent
        self._view = view
        self._timers = timers
        self._number = 0
        self._waiting: dict[int, tuple[str, Callable[[bytes], None], TimerHandle]] = {}
        operators.add_endpoint("GET", "/operator/trace", self._show)

    def _show(self, exchange: Exchange) -> None:
        request_id = parse_qs(exchange.query).get("request_id", [""])[0]
        found = REQUEST_ID.fullmatch(request_id[:MAX_ID_CHARACTERS])
        if found is None:
            text = f"'{request_id[:100]}' is no request id, as the header X-Request-Id gives it."
            respond_error(exchange, ProtocolError(400, "invalid_request_id", text))
            return
        instance_id = found["instance"]
        if instance_id == self._instance_id:
            _answer(exchange, request_id, self._recent.get(request_id) or b"")
        elif self._view.entry(instance_id) is None:
            text = f"The instance '{instance_id}', which had the request, does not exist any more."
            respond_error(exchange, ProtocolError(404, "unknown_instance", text))
        else:
            self._fetch(exchange, instance_id, request_id)

    def _fetch(self, exchange: Exchange, instance_id: str, request_id: str) -> None:
        self._number += 1
        number = self._number

        def give_up() -> None:
            del self._waiting[number]
            text = f"The instance '{instance_id}', which had the request, does not answer."
            error = ProtocolError(503, "instance_unreachable", text, retry_after_ms=RETRY_AFTER_MS)
            respond_error(exchange, error)

        def done(body: bytes) -> None:
            _answer(exchange, request_id, body)

        self._waiting[number] = (instance_id, done, self._timers.after(FETCH_TIMEOUT_MS, give_up))
        request = StateRequest(COMPONENT, number, request_id.encode())
        self.fire(peer_send(instance_id, request), "*")

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        match message:
            case StateRequest(component, number, body) if component == COMPONENT:
                trace = self._recent.get(body.decode(errors="replace")) or b""
                self.fire(peer_send(instance_id, StateReply(COMPONENT, number, trace)), "*")
            case StateReply(component, number, body) if component == COMPONENT:
                waiting = self._waiting.get(number)
                if waiting is not None and waiting[0] == instance_id:
                    _, done, timer = self._waiting.pop(number)
                    timer.cancel()
                    done(body)


def _answer(exchange: Exchange, request_id: str, trace: bytes) -> None:
    if trace:
        exchange.respond(200, JSON, trace)
        return
    text = (
        f"The request '{request_id}' is unknown, still in flight, or no longer kept; an instance"
        f" keeps the last {MAX_TRACES} requests until it ends."
    )
    respond_error(exchange, ProtocolError(404, "trace_not_kept", text))
