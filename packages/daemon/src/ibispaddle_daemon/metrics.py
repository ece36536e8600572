"""Metrics of an instance, and handlers for `/healthz`, `/readyz` and `/metrics`."""

from bisect import bisect_right
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from .http_exchange import Exchange
from .responses import JSON, respond_method_not_allowed, respond_not_found

if TYPE_CHECKING:
    from aioprometheus import Counter, Gauge, Registry

_SECONDS_BUCKETS = (0.001, 0.003, 0.005, 0.015, 0.05, 0.1, 0.25, 0.65, 1.0, 2.5, 5.0, 15.0, 60.0)
_RATIO_BUCKETS = (1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0)
# Exclusive upper limits of the prompt length classes, in tokens, and their label values.
_LENGTH_CLASS_LIMITS = (8_000, 32_000, 100_000, 400_000)
_LENGTH_CLASSES = ("under_8k", "8k_to_32k", "32k_to_100k", "100k_to_400k", "400k_and_more")

# Number of pending updates after which the metrics library is loaded.
MAX_PENDING_UPDATES = 2_000

Labels = dict[str, str]
ReadSamples = Callable[[], Iterable[tuple[Labels, float]]]


def escape_label(value: str) -> str:
    """Escape a label value for the text format, because the renderer does not escape it.

    >>> escape_label('a "b"')
    'a \\\\"b\\\\"'
    """
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def prompt_length_class(prompt_tokens: int) -> str:
    """Return the label value of a prompt's length class.

    >>> prompt_length_class(9_000)
    '8k_to_32k'
    """
    return _LENGTH_CLASSES[bisect_right(_LENGTH_CLASS_LIMITS, prompt_tokens)]


class DeferredMetric:
    """Proxy of an aioprometheus metric, which delays the library's import until it is needed."""

    def __init__(self, metrics: "Metrics", kind: str, name: str, text: str, **options: Any) -> None:
        self._metrics = metrics
        self._kind, self._arguments, self._options = kind, (name, text), options
        self._metric: Any = None

    def create(self, registry: "Registry") -> None:
        """Create the underlying metric, which then receives all updates."""
        import aioprometheus

        make = getattr(aioprometheus, self._kind)
        self._metric = make(*self._arguments, registry=registry, **self._options)

    def inc(self, labels: Labels) -> None:
        """Increment a counter."""
        self._call("inc", labels)

    def add(self, labels: Labels, value: float) -> None:
        """Add to a counter."""
        self._call("add", labels, value)

    def observe(self, labels: Labels, value: float) -> None:
        """Add a value to a histogram."""
        self._call("observe", labels, value)

    def _call(self, method: str, *arguments: Any) -> None:
        if self._metric is None:
            self._metrics.add_pending_update(lambda: getattr(self._metric, method)(*arguments))
        else:
            getattr(self._metric, method)(*arguments)


class Metrics:
    """Hold the registry and the metrics of request processing."""

    def __init__(self) -> None:
        self._registry: Registry | None = None
        self._deferred: list[DeferredMetric] = []
        self._pending_updates: list[Callable[[], None]] = []
        self.requests = self._defer(
            "Counter", "ibispaddle_requests_total", "Requests that ended, by code."
        )
        self.attempts = self._defer(
            "Counter", "ibispaddle_attempts_total", "Attempts that ended, by outcome."
        )
        self.retries = self._defer(
            "Counter",
            "ibispaddle_retries_total",
            "Further attempts of a request, by the reason that the one before ended.",
        )
        self.hedges = self._defer(
            "Counter",
            "ibispaddle_hedges_total",
            "Second attempts beside a late first one, by result: started, won, lost.",
        )
        self.declined_hedges = self._defer(
            "Counter",
            "ibispaddle_hedges_declined_total",
            "Requests with a late attempt that were not hedged, by the limit that ruled it out.",
        )
        self.tokens = self._defer(
            "Counter",
            "ibispaddle_relayed_tokens_total",
            "Generated tokens relayed, by workspace.",
        )
        self.dropped = self._defer(
            "Counter",
            "ibispaddle_dropped_events_total",
            "Events of upstreams that were repeated or foreign and not passed on.",
        )
        self.first_token = self._defer(
            "Histogram",
            "ibispaddle_first_token_seconds",
            "Time from a request's arrival to its first token, by prompt length.",
            buckets=_SECONDS_BUCKETS,
        )
        self.slowdown = self._defer(
            "Histogram",
            "ibispaddle_slowdown_ratio",
            "Time to first token divided by its estimate on an idle fleet, by prompt length.",
            buckets=_RATIO_BUCKETS,
        )
        self.duration = self._defer(
            "Histogram",
            "ibispaddle_request_seconds",
            "Time from a request's arrival to its end.",
            buckets=_SECONDS_BUCKETS,
        )
        self._unregistered_collectors: list[tuple[str, str, str, ReadSamples]] = []
        self._collectors: list[tuple[Gauge | Counter, ReadSamples]] = []

    def _defer(self, kind: str, name: str, text: str, **options: Any) -> DeferredMetric:
        metric = DeferredMetric(self, kind, name, text, **options)
        self._deferred.append(metric)
        return metric

    def add_pending_update(self, update: Callable[[], None]) -> None:
        """Queue an update until the library is loaded, which happens when the queue is full."""
        self._pending_updates.append(update)
        if len(self._pending_updates) >= MAX_PENDING_UPDATES:
            self._load()

    @property
    def registry(self) -> "Registry":
        """Return the registry with all metrics, loading the library if necessary."""
        return self._load()

    def _load(self) -> "Registry":
        import aioprometheus

        if self._registry is None:
            self._registry = aioprometheus.Registry()
            for metric in self._deferred:
                metric.create(self._registry)
            updates, self._pending_updates = self._pending_updates, []
            for update in updates:
                update()
        for kind, name, text, read in self._unregistered_collectors:
            collector = getattr(aioprometheus, kind)(name, text, registry=self._registry)
            self._collectors.append((collector, read))
        self._unregistered_collectors.clear()
        return self._registry

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when the metrics are rendered."""
        self.add_labelled_gauge(name, text, lambda: [({}, read())])

    def add_counter(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a counter whose value is read when the metrics are rendered."""
        self.add_labelled_counter(name, text, lambda: [({}, read())])

    def add_labelled_gauge(self, name: str, text: str, read: ReadSamples) -> None:
        """Add a gauge with labels; labels that `read` no longer returns disappear."""
        self._unregistered_collectors.append(("Gauge", name, text, read))

    def add_labelled_counter(self, name: str, text: str, read: ReadSamples) -> None:
        """Add a counter with labels whose values are read when the metrics are rendered."""
        self._unregistered_collectors.append(("Counter", name, text, read))

    def count_retry(self, attempts: int, reason: str) -> None:
        """Count an attempt as a retry unless it is the first one of its request."""
        if attempts > 1:
            self.retries.inc({"reason": reason})

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        import aioprometheus

        registry = self._load()
        for metric, read in self._collectors:
            metric.values.clear()
            for labels, value in read():
                metric.set(labels, value)
        body, _ = aioprometheus.render(registry, [])
        return body


class Status(BaseComponent):
    """Serve `/healthz`, `/readyz` and `/metrics`.

    The instance is ready while all required components have reported, every component that has
    reported is ready, and no graceful shutdown has started.
    """

    channel = "status"

    def __init__(self, metrics: Metrics, required: tuple[str, ...]) -> None:
        super().__init__()
        self._metrics = metrics
        self._ready = dict.fromkeys(required, False)
        self._draining = False

    @property
    def is_ready(self) -> bool:
        """Return whether the instance accepts requests."""
        return not self._draining and all(self._ready.values())

    @handler("readiness_changed", channel="*")
    def _on_readiness_changed(self, component: str, ready: bool) -> None:
        self._ready[component] = ready

    @handler("drain_started", channel="*")
    def _on_drain_started(self) -> None:
        self._draining = True

    @handler("exchange_started")
    def _on_exchange_started(self, exchange: Exchange) -> None:
        if exchange.method not in ("GET", "HEAD"):
            respond_method_not_allowed(exchange, "GET")
            return
        match exchange.path:
            case "/healthz":
                exchange.respond(200, JSON, b'{"status":"ok"}')
            case "/readyz" if self.is_ready:
                exchange.respond(200, JSON, b'{"status":"ready"}')
            case "/readyz":
                missing = ["draining"] if self._draining else []
                missing += [name for name, ready in self._ready.items() if not ready]
                waiting = ", ".join(f'"{name}"' for name in missing)
                body = f'{{"status":"not ready","waiting_for":[{waiting}]}}'
                exchange.respond(503, JSON, body.encode())
            case "/metrics":
                content_type = "text/plain; version=0.0.4; charset=utf-8"
                exchange.respond(200, (("Content-Type", content_type),), self._metrics.render())
            case _:
                respond_not_found(exchange)
