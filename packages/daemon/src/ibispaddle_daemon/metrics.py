"""Metrics of an instance and the paths `/healthz`, `/readyz` and `/metrics`."""

from bisect import bisect_right
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from .http_exchange import Exchange
from .responses import JSON, respond_method_not_allowed, respond_not_found

if TYPE_CHECKING:
    from aioprometheus import Counter, Gauge, Registry

_SECONDS = (0.001, 0.003, 0.005, 0.015, 0.05, 0.1, 0.25, 0.65, 1.0, 2.5, 5.0, 15.0, 60.0)
_RATIOS = (1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0)
# Upper limits of the prompt-length classes, in tokens, and the values of the label.
_LENGTH_LIMITS = (8_000, 32_000, 100_000, 400_000)
_LENGTH_CLASSES = ("under_8k", "8k_to_32k", "32k_to_100k", "100k_to_400k", "400k_and_more")

# Values that are held back before the library that counts them is loaded.
MAX_HELD_VALUES = 2_000

Labels = dict[str, str]
Read = Callable[[], Iterable[tuple[Labels, float]]]


def escape_label(value: str) -> str:
    """Return a label's value as the text format needs it, which the renderer leaves to the caller.

    >>> escape_label('a "b"')
    'a \\\\"b\\\\"'
    """
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def prompt_length_class(prompt_tokens: int) -> str:
    """Return the label of a prompt's length class.

    >>> prompt_length_class(9_000)
    '8k_to_32k'
    """
    return _LENGTH_CLASSES[bisect_right(_LENGTH_LIMITS, prompt_tokens)]


class DeferredMetric:
    """Stand for a metric of aioprometheus, which is loaded when somebody reads the metrics."""

    def __init__(self, metrics: "Metrics", kind: str, name: str, text: str, **options: Any) -> None:
        self._metrics = metrics
        self._kind, self._arguments, self._options = kind, (name, text), options
        self._metric: Any = None

    def create(self, registry: "Registry") -> None:
        """Create the metric that takes all values from now on."""
        import aioprometheus

        make = getattr(aioprometheus, self._kind)
        self._metric = make(*self._arguments, registry=registry, **self._options)

    def inc(self, labels: Labels) -> None:
        """Count one more."""
        self._call("inc", labels)

    def add(self, labels: Labels, value: float) -> None:
        """Add to a counter."""
        self._call("add", labels, value)

    def observe(self, labels: Labels, value: float) -> None:
        """Add a value to a histogram."""
        self._call("observe", labels, value)

    def _call(self, method: str, *arguments: Any) -> None:
        if self._metric is None:
            self._metrics.hold(lambda: getattr(self._metric, method)(*arguments))
        else:
            getattr(self._metric, method)(*arguments)


class Metrics:
    """Hold the registry and the metrics of the request path."""

    def __init__(self) -> None:
        self._registry: Registry | None = None
        self._deferred: list[DeferredMetric] = []
        self._held: list[Callable[[], None]] = []
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
            buckets=_SECONDS,
        )
        self.slowdown = self._defer(
            "Histogram",
            "ibispaddle_slowdown_ratio",
            "Time to first token divided by its estimate on an idle fleet, by prompt length.",
            buckets=_RATIOS,
        )
        self.duration = self._defer(
            "Histogram",
            "ibispaddle_request_seconds",
            "Time from a request's arrival to its end.",
            buckets=_SECONDS,
        )
        self._late: list[tuple[str, str, str, Read]] = []
        self._read_late: list[tuple[Gauge | Counter, Read]] = []

    def _defer(self, kind: str, name: str, text: str, **options: Any) -> DeferredMetric:
        metric = DeferredMetric(self, kind, name, text, **options)
        self._deferred.append(metric)
        return metric

    def hold(self, count: Callable[[], None]) -> None:
        """Keep a value until the metrics are loaded, which a busy instance does by itself."""
        self._held.append(count)
        if len(self._held) >= MAX_HELD_VALUES:
            self._load()

    @property
    def registry(self) -> "Registry":
        """Return the registry with all metrics."""
        return self._load()

    def _load(self) -> "Registry":
        import aioprometheus

        if self._registry is None:
            self._registry = aioprometheus.Registry()
            for metric in self._deferred:
                metric.create(self._registry)
            held, self._held = self._held, []
            for count in held:
                count()
        for kind, name, text, read in self._late:
            collector = getattr(aioprometheus, kind)(name, text, registry=self._registry)
            self._read_late.append((collector, read))
        self._late.clear()
        return self._registry

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a value that is read when the metrics are rendered."""
        self.add_labelled_gauge(name, text, lambda: [({}, read())])

    def add_counter(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a value that never falls and is read when the metrics are rendered."""
        self.add_labelled_counter(name, text, lambda: [({}, read())])

    def add_labelled_gauge(self, name: str, text: str, read: Read) -> None:
        """Add values by labels; labels that `read` does not give any more disappear."""
        self._late.append(("Gauge", name, text, read))

    def add_labelled_counter(self, name: str, text: str, read: Read) -> None:
        """Add values by labels that never fall."""
        self._late.append(("Counter", name, text, read))

    def count_retry(self, attempts: int, reason: str) -> None:
        """Count an attempt that is not a request's first one."""
        if attempts > 1:
            self.retries.inc({"reason": reason})

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        import aioprometheus

        registry = self._load()
        for metric, read in self._read_late:
            metric.values.clear()
            for labels, value in read():
                metric.set(labels, value)
        body, _ = aioprometheus.render(registry, [])
        return body


class Status(BaseComponent):
    """Answer `/healthz`, `/readyz` and `/metrics`.

    The instance is ready while every component that has reported is ready, all required components
    have reported, and no planned stop has begun.
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
