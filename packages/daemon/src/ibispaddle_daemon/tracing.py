"""Spans of requests and attempts, exported as OTLP JSON over HTTP."""

import itertools
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, Span, SpanProcessor, TracerProvider
from opentelemetry.trace import SpanKind, StatusCode, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from .events import Headers, HttpCall, HttpCallError, http_call
from .timers import TimerQueue
from .traces import RecentTraces

EXPORT_INTERVAL_MS = 1_000
EXPORT_TIMEOUT_MS = 5_000
MAX_BATCH_SPANS = 512
MAX_BUFFERED_SPANS = 4_096

_PROPAGATOR = TraceContextTextMapPropagator()
_EXPORT_NUMBERS = itertools.count(1)


class SpanBuffer(SpanProcessor):
    """Buffer finished spans for export; the oldest are dropped if the collector is unavailable."""

    def __init__(self) -> None:
        self.spans: deque[ReadableSpan] = deque(maxlen=MAX_BUFFERED_SPANS)

    def on_end(self, span: ReadableSpan) -> None:
        """Buffer a finished span."""
        self.spans.append(span)


class Tracing(BaseComponent):
    """Create spans and export them without delaying requests."""

    channel = "tracing"

    def __init__(
        self, instance_id: str, data_centre: str, trace_url: str, clock: Clock, timers: TimerQueue
    ) -> None:
        super().__init__()
        self._url = trace_url.rstrip("/") + "/v1/traces" if trace_url else ""
        self._clock = clock
        self._timers = timers
        self._buffer = SpanBuffer()
        self._export_call_id = ""
        self._resource = {
            "service.name": "ibispaddle",
            "service.instance.id": instance_id,
            "cloud.availability_zone": data_centre,
        }
        provider = TracerProvider(resource=Resource(self._resource), shutdown_on_exit=False)
        self.recent_traces = RecentTraces(instance_id)
        provider.add_span_processor(self.recent_traces)
        if self._url:
            provider.add_span_processor(self._buffer)
            timers.after(EXPORT_INTERVAL_MS, self._export_periodically)
        self._tracer = provider.get_tracer("ibispaddle")

    def start_request(self, name: str, headers: Headers) -> Span:
        """Start the span of a caller's request, as a child of the caller's span if it sent one."""
        carrier = {key.lower(): value for key, value in headers if key.lower().startswith("trace")}
        context = _PROPAGATOR.extract(carrier) if carrier else Context()
        return self._tracer.start_span(name, context, SpanKind.SERVER)  # type: ignore[return-value]

    def start_call(self, parent: Span, name: str) -> Span:
        """Start the span of a call to an upstream."""
        context = set_span_in_context(parent, Context())
        return self._tracer.start_span(name, context, SpanKind.CLIENT)  # type: ignore[return-value]

    @staticmethod
    def trace_headers(span: Span) -> Headers:
        """Return the trace context headers that make the receiver's span a child of this one."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, set_span_in_context(span, Context()))
        return tuple(carrier.items())

    def flush(self) -> None:
        """Export a batch of buffered spans, unless an export is in flight."""
        if self._export_call_id or not self._buffer.spans or not self._url:
            return
        count = min(MAX_BATCH_SPANS, len(self._buffer.spans))
        batch = [self._buffer.spans.popleft() for _ in range(count)]
        self._export_call_id = f"traces-{next(_EXPORT_NUMBERS)}"
        call = HttpCall(
            call_id=self._export_call_id,
            method="POST",
            url=self._url,
            headers=(("Content-Type", "application/json"),),
            body=encode_spans(self._resource, batch),
            deadline_ms=self._clock.now_ms() + EXPORT_TIMEOUT_MS,
            channel=self.channel,
        )
        self.fire(http_call(call), "http_client")

    def _export_periodically(self) -> None:
        self._timers.after(EXPORT_INTERVAL_MS, self._export_periodically)
        self.flush()

    @handler("drain_completed", channel="*")
    def _on_drain_completed(self, component: str) -> None:
        self.flush()

    @handler("call_completed")
    def _on_call_completed(
        self, call_id: str, status: int, headers: Headers, body: bytes, error: HttpCallError | None
    ) -> None:
        # A batch whose export failed is dropped: traces may have gaps, but must not delay requests.
        if call_id == self._export_call_id:
            self._export_call_id = ""
            if error is None and len(self._buffer.spans) >= MAX_BATCH_SPANS:
                self.flush()


def encode_spans(resource: Mapping[str, Any], spans: Sequence[ReadableSpan]) -> bytes:
    """Return an OTLP export request in JSON; ids are hexadecimal, as OTLP/JSON requires."""
    scope = {"scope": {"name": "ibispaddle"}, "spans": [_encode_span(span) for span in spans]}
    resource_spans = {
        "resource": {"attributes": _encode_attributes(resource)},
        "scopeSpans": [scope],
    }
    return msgspec.json.encode({"resourceSpans": [resource_spans]})


def _encode_span(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    assert context is not None
    failed = span.status.status_code is StatusCode.ERROR
    fields = {
        "traceId": f"{context.trace_id:032x}",
        "spanId": f"{context.span_id:016x}",
        "name": span.name,
        "kind": span.kind.value + 1,
        "startTimeUnixNano": str(span.start_time),
        "endTimeUnixNano": str(span.end_time),
        "attributes": _encode_attributes(span.attributes or {}),
        "status": {"code": 2, "message": span.status.description or ""} if failed else {},
    }
    if span.parent is not None:
        fields["parentSpanId"] = f"{span.parent.span_id:016x}"
    if context.trace_state:
        fields["traceState"] = context.trace_state.to_header()
    return fields


def _encode_attributes(values: Mapping[str, Any]) -> list[dict[str, Any]]:
    return [{"key": key, "value": _encode_value(value)} for key, value in values.items()]


def _encode_value(value: Any) -> dict[str, Any]:
    match value:
        case bool():
            return {"boolValue": value}
        case int():
            return {"intValue": str(value)}
        case float():
            return {"doubleValue": value}
        case _:
            return {"stringValue": str(value)}
