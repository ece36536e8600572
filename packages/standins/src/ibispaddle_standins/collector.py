"""Stand-in for a trace collector: accepts OTLP over HTTP with JSON bodies and stores the spans."""

import argparse
import asyncio
from collections import deque
from typing import Any

from aiohttp import web

from .server import Handler, StandIn, main

MAX_SPANS = 100_000


class Collector(StandIn):
    """Store the most recent spans, each together with its resource."""

    name = "collector"
    known_faults = ("outage", "delay_ms")

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args)
        self.spans: deque[dict[str, Any]] = deque(maxlen=MAX_SPANS)
        self.requests = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/v1/traces", self.store)

    def state(self) -> dict[str, Any]:
        return {"requests": self.requests, "spans": list(self.spans)}

    async def intercept(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        await asyncio.sleep(self.faults.get("delay_ms", 0) / 1000)
        if self.faults.consume("outage"):
            return web.json_response({"message": "outage"}, status=503)
        return await handler(request)

    async def store(self, request: web.Request) -> web.Response:
        """Handle an OTLP export request by storing all of its spans."""
        try:
            document = await request.json()
            for resource_spans in document["resourceSpans"]:
                resource = resource_spans.get("resource", {})
                for scope_spans in resource_spans["scopeSpans"]:
                    self.spans.extend(
                        span | {"resource": resource} for span in scope_spans["spans"]
                    )
        except (ValueError, KeyError, TypeError) as exc:
            return web.json_response({"message": f"not an export request: {exc!r}"}, status=400)
        self.requests += 1
        return web.json_response({"partialSuccess": {}})


if __name__ == "__main__":
    main(Collector)
