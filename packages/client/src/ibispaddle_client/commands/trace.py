"""Show the spans of a recent request."""

from datetime import UTC, datetime
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.text import Text
from rich.tree import Tree

from ..api import OperatorApi
from ..output import print_json
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server

RequestId = Annotated[str, typer.Argument(help="Id from the response header X-Request-Id.")]


def command(
    request_id: RequestId,
    key: OperatorKey,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Show a finished request and its calls to upstreams, with times and outcomes.

    Any instance can be queried; it fetches the spans from the one that handled the request.

    Example: ibispaddle trace entry.1-5f1d0c2a-17
    """
    trace = OperatorApi(server, key).get("trace", request_id=request_id)
    if as_json:
        print_json(trace)
        return
    root, *calls = trace["spans"]
    attempts = root.get("attempts", len(calls))
    summary = [
        f"request {trace['request_id']}",
        f"instance {trace['instance']}",
        f"workspace {root.get('workspace', '(unknown)')}",
        f"{attempts} attempt" if attempts == 1 else f"{attempts} attempts",
        f"trace {trace['trace_id']}",
    ]
    typer.echo(", ".join(summary))
    tree = Tree(_format_span(root, root))
    for call in sorted(calls, key=lambda span: float(span["start_time_ms"])):
        tree.add(_format_span(call, root))
    Console(soft_wrap=True).print(tree)


def _format_span(span: dict[str, Any], root: dict[str, Any]) -> Text:
    """Return the line of a span; calls show the time since the start of the request."""
    if span is root:
        started = datetime.fromtimestamp(span["start_time_ms"] / 1000, UTC)
        time = started.isoformat(sep=" ", timespec="milliseconds").replace("+00:00", " UTC")
    else:
        time = f"+{span['start_time_ms'] - root['start_time_ms']:.1f} ms"
    result = span.get("code") or span.get("outcome") or ""
    upstream = f"to {span['upstream']}" if "upstream" in span else ""
    tokens = f"{span['tokens']} tokens" if "tokens" in span else ""
    took = f"took {span['duration_ms']:.1f} ms"
    return Text(
        "  ".join(part for part in (time, span["name"], upstream, took, result, tokens) if part)
    )
