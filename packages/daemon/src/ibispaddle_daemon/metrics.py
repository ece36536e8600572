"""Metrics of an instance and the paths `/healthz`, `/readyz` and `/metrics`."""

from collections.abc import Callable, Iterable

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from circuits import BaseComponent, handler

from .http_exchange import Exchange
from .responses import JSON, not_found, wrong_method

_SECONDS = (0.001, 0.003, 0.005, 0.015, 0.05, 0.1, 0.25, 0.65, 1.0, 2.5, 5.0, 15.0, 60.0)
_RATIOS = (1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0)
# Upper limits of the prompt-length classes, in tokens, with the value of the label.
_LENGTH_CLASSES = (
    (8_000, "under_8k"),
    (32_000, "8k_to_32k"),
    (100_000, "32k_to_100k"),
    (400_000, "100k_to_400k"),
)
_LONGEST_CLASS = "400k_and_more"


Labels = dict[str, str]
Read = Callable[[], Iterable[tuple[Labels, float]]]


def escape_label(value: str) -> str:
    """Return a label's value as the text format needs it, which the renderer leaves to the caller.

    >>> escape_label('a "b"')
    'a \\\\"b\\\\"'
    """
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def length_class(prompt_tokens: int) -> str:
    """Return the label of a prompt's length class.

    >>> length_class(9_000)
    '8k_to_32k'
    """
    classes = (label for limit, label in _LENGTH_CLASSES if prompt_tokens < limit)
    return next(classes, _LONGEST_CLASS)


class Metrics:
    """Hold the registry and the metrics of the request path."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            "ibispaddle_requests_total", "Requests that ended, by code.", registry=self.registry
        )
        self.attempts = Counter(
            "ibispaddle_attempts_total", "Attempts that ended, by outcome.", registry=self.registry
        )
        self.retries = Counter(
            "ibispaddle_retries_total",
            "Further attempts of a request, by the reason that the one before ended.",
            registry=self.registry,
        )
        self.tokens = Counter(
            "ibispaddle_relayed_tokens_total",
            "Generated tokens relayed, by workspace.",
            registry=self.registry,
        )
        self.dropped = Counter(
            "ibispaddle_dropped_events_total",
            "Events of upstreams that were repeated or foreign and not passed on.",
            registry=self.registry,
        )
        self.first_token = Histogram(
            "ibispaddle_first_token_seconds",
            "Time from a request's arrival to its first token, by prompt length.",
            registry=self.registry,
            buckets=_SECONDS,
        )
        self.slowdown = Histogram(
            "ibispaddle_slowdown_ratio",
            "Time to first token divided by its estimate on an idle fleet, by prompt length.",
            registry=self.registry,
            buckets=_RATIOS,
        )
        self.duration = Histogram(
            "ibispaddle_request_seconds",
            "Time from a request's arrival to its end.",
            registry=self.registry,
            buckets=_SECONDS,
        )
        self._read_late: list[tuple[Gauge | Counter, Read]] = []

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a value that is read when the metrics are rendered."""
        self.add_labelled_gauge(name, text, lambda: [({}, read())])

    def add_counter(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a value that never falls and is read when the metrics are rendered."""
        self.add_labelled_counter(name, text, lambda: [({}, read())])

    def add_labelled_gauge(self, name: str, text: str, read: Read) -> None:
        """Add values by labels; labels that `read` does not give any more disappear."""
        self._read_late.append((Gauge(name, text, registry=self.registry), read))

    def add_labelled_counter(self, name: str, text: str, read: Read) -> None:
        """Add values by labels that never fall."""
        self._read_late.append((Counter(name, text, registry=self.registry), read))

    def count_retry(self, attempts: int, reason: str) -> None:
        """Count an attempt that is not a request's first one."""
        if attempts > 1:
            self.retries.inc({"reason": reason})

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        for metric, read in self._read_late:
            metric.values.clear()
            for labels, value in read():
                metric.set(labels, value)
        body, _ = render(self.registry, [])
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
            wrong_method(exchange, "GET")
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
                not_found(exchange)
