"""Metrics of the memory that an instance holds for slow callers and upstreams."""

from collections.abc import Callable, Iterable

from .http_client import HttpClient
from .http_server import HttpServer
from .metrics import Labels, Metrics


def add_memory_metrics(
    metrics: Metrics,
    server: HttpServer,
    client: HttpClient,
    incomplete_response_bytes: Callable[[], int],
) -> None:
    """Register the metrics of an instance's buffers."""

    def held() -> Iterable[tuple[Labels, float]]:
        sizes = {
            "unread_responses": server.unsent_bytes,
            "request_bodies": server.request_body_bytes,
            "request_heads": server.request_head_bytes,
            "incomplete_responses": incomplete_response_bytes(),
            "buffered_calls": client.buffered_bytes,
        }
        return [({"kind": kind}, size) for kind, size in sizes.items()]

    metrics.add_labelled_gauge(
        "ibispaddle_held_bytes", "Bytes held for callers and upstreams, by kind.", held
    )
    metrics.add_counter(
        "ibispaddle_callers_given_up_total",
        "Callers that were disconnected because they did not read or send for too long, or to free memory.",
        lambda: server.given_up_callers,
    )
    metrics.add_counter(
        "ibispaddle_reads_paused_total",
        "Pauses of reading from an upstream because the caller was slow.",
        lambda: client.pause_count,
    )
    metrics.add_gauge(
        "ibispaddle_paused_calls",
        "Calls whose response is not being read because the caller is slow.",
        lambda: client.paused_calls,
    )
