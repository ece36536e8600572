"""In-memory store of the spans of recent requests, and the endpoint that returns them."""

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
# Two to three minutes at 28 requests/s per instance.
MAX_TRACES = 4_000
MAX_BYTES = 4_194_304
# Memory of a stored trace besides its JSON: dictionary keys and entries, 336 bytes in CPython 3.11.
TRACE_OVERHEAD_BYTES = 350
FETCH_TIMEOUT_MS = 2_000
RETRY_AFTER_MS = 1_000
REQUEST_ID = re.compile(r"(?P<instance>.+)-[0-9a-f]{8}-s?[0-9]+", re.ASCII)
MAX_ID_CHARACTERS = 300
ATTRIBUTE_PREFIX = "ibispaddle."
# Other attributes and the status description are omitted, because the error message of an upstream
# may quote the prompt.
EXPOSED_ATTRIBUTES = ("workspace", "upstream", "outcome", "code", "tokens", "attempts")


class RecentTraces(SpanProcessor):
    """Store the spans of finished requests; the oldest requests are dropped first.

    The span of a request has the request id as an attribute. Its child spans are the calls to
    upstreams. A call that ends after its request is added to the stored trace.
    """

    def __init__(
        self, instance_id: str, max_traces: int = MAX_TRACES, max_bytes: int = MAX_BYTES
    ) -> None:
        self._instance_id = instance_id
        self._max_traces = max_traces
        self._max_bytes = max_bytes
        # Finished calls of requests in flight, by the id of the request's span.
        self._open_calls: dict[int, list[dict[str, Any]]] = {}
        self._traces: OrderedDict[str, tuple[int, bytes]] = OrderedDict()
        self._request_ids: dict[int, str] = {}  # Request ids by the id of the request's span.
        self.bytes_kept = 0

    def __len__(self) -> int:
        return len(self._traces)

    def get(self, request_id: str) -> bytes | None:
        """Return the encoded trace of a finished request, or None if it is not stored."""
        stored = self._traces.get(request_id)
        return stored[1] if stored else None

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Begin to collect the calls of a request."""
        if span.parent is None or span.parent.is_remote:
            self._open_calls[_span_id(span)] = []

    def on_end(self, span: ReadableSpan) -> None:
        """Store the trace of a finished request, or add a finished call to its request."""
        span_id = _span_id(span)
        calls = self._open_calls.pop(span_id, None)
        if calls is not None:
            self._store_request(span, span_id, calls)
            return
        parent_id = span.parent.span_id if span.parent else 0
        if parent_id in self._open_calls:
            self._open_calls[parent_id].append(_encode_span(span))
        elif parent_id in self._request_ids:
            request_id = self._request_ids[parent_id]
            trace = msgspec.json.decode(self._traces[request_id][1])
            trace["spans"].append(_encode_span(span))
            self._store(request_id, parent_id, trace)

    def _store_request(self, span: ReadableSpan, span_id: int, calls: list[dict[str, Any]]) -> None:
        request_id = (span.attributes or {}).get(f"{ATTRIBUTE_PREFIX}request_id")
        if not isinstance(request_id, str):
            return
        context = span.get_span_context()
        assert context is not None
        trace = {
            "request_id": request_id,
            "instance": self._instance_id,
            "trace_id": f"{context.trace_id:032x}",
            "spans": [_encode_span(span) | {"parent_span_id": None}, *calls],
        }
        self._store(request_id, span_id, trace)

    def _store(self, request_id: str, span_id: int, trace: dict[str, Any]) -> None:
        replaced = self._traces.get(request_id)
        if replaced is not None:
            self.bytes_kept -= len(replaced[1]) + TRACE_OVERHEAD_BYTES
        data = msgspec.json.encode(trace)
        self._traces[request_id] = (span_id, data)
        self._request_ids[span_id] = request_id
        self.bytes_kept += len(data) + TRACE_OVERHEAD_BYTES
        while len(self._traces) > self._max_traces or self.bytes_kept > self._max_bytes:
            _, (dropped_id, dropped_data) = self._traces.popitem(last=False)
            del self._request_ids[dropped_id]
            self.bytes_kept -= len(dropped_data) + TRACE_OVERHEAD_BYTES


def _span_id(span: ReadableSpan) -> int:
    context = span.get_span_context()
    return context.span_id if context else 0


def _encode_span(span: ReadableSpan) -> dict[str, Any]:
    attributes = span.attributes or {}
    start_ns, end_ns = span.start_time or 0, span.end_time or 0
    exposed = {
        name: attributes[ATTRIBUTE_PREFIX + name]
        for name in EXPOSED_ATTRIBUTES
        if ATTRIBUTE_PREFIX + name in attributes
    }
    return {
        "span_id": f"{_span_id(span):016x}",
        "parent_span_id": f"{span.parent.span_id:016x}" if span.parent else None,
        "name": span.name,
        "start_time_ms": round(start_ns / 1_000_000, 3),
        "duration_ms": round((end_ns - start_ns) / 1_000_000, 3),
        **exposed,
    }


class TraceEndpoint(BaseComponent):
    """Serve `/operator/trace`; the trace of another instance's request is fetched from there."""

    channel = COMPONENT

    def __init__(
        self,
        instance_id: str,
        recent_traces: RecentTraces,
        operators: OperatorEndpoints,
        view: MembershipView,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._recent_traces = recent_traces
        self._view = view
        self._timers = timers
        self._last_number = 0
        self._pending_fetches: dict[int, tuple[str, Callable[[bytes], None], TimerHandle]] = {}
        operators.add_endpoint("GET", "/operator/trace", self._show)

    def _show(self, exchange: Exchange) -> None:
        request_id = parse_qs(exchange.query).get("request_id", [""])[0]
        match = REQUEST_ID.fullmatch(request_id[:MAX_ID_CHARACTERS])
        if match is None:
            text = f"'{request_id[:100]}' is not a request id as sent in the header X-Request-Id."
            respond_error(exchange, ProtocolError(400, "invalid_request_id", text))
            return
        instance_id = match["instance"]
        if instance_id == self._instance_id:
            _respond_trace(exchange, request_id, self._recent_traces.get(request_id) or b"")
        elif self._view.entry(instance_id) is None:
            text = f"The instance '{instance_id}', which handled the request, no longer exists."
            respond_error(exchange, ProtocolError(404, "unknown_instance", text))
        else:
            self._fetch(exchange, instance_id, request_id)

    def _fetch(self, exchange: Exchange, instance_id: str, request_id: str) -> None:
        self._last_number += 1
        number = self._last_number

        def report_timeout() -> None:
            del self._pending_fetches[number]
            text = f"The instance '{instance_id}', which handled the request, does not respond."
            error = ProtocolError(503, "instance_unreachable", text, retry_after_ms=RETRY_AFTER_MS)
            respond_error(exchange, error)

        def respond(body: bytes) -> None:
            _respond_trace(exchange, request_id, body)

        self._pending_fetches[number] = (
            instance_id,
            respond,
            self._timers.after(FETCH_TIMEOUT_MS, report_timeout),
        )
        request = StateRequest(COMPONENT, number, request_id.encode())
        self.fire(peer_send(instance_id, request), "*")

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        match message:
            case StateRequest(component, number, body) if component == COMPONENT:
                trace = self._recent_traces.get(body.decode(errors="replace")) or b""
                self.fire(peer_send(instance_id, StateReply(COMPONENT, number, trace)), "*")
            case StateReply(component, number, body) if component == COMPONENT:
                pending = self._pending_fetches.get(number)
                if pending is not None and pending[0] == instance_id:
                    _, respond, timer = self._pending_fetches.pop(number)
                    timer.cancel()
                    respond(body)


def _respond_trace(exchange: Exchange, request_id: str, trace: bytes) -> None:
    if trace:
        exchange.respond(200, JSON, trace)
        return
    text = (
        f"The request '{request_id}' is unknown, still in flight, or no longer stored; an instance"
        f" stores the traces of its last {MAX_TRACES} requests in memory."
    )
    respond_error(exchange, ProtocolError(404, "trace_not_kept", text))
