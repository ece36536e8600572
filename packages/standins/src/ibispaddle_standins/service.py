"""Stand-in for a plain HTTP service, which executes and counts every call."""

import argparse
import asyncio
import hashlib
import os
from collections import Counter
from typing import Any

from aiohttp import web

from .server import Handler, StandIn, abort_connection, main


class Service(StandIn):
    """Count executions by idempotency key, method and path, without deduplication."""

    name = "service"
    known_faults = (
        "delay_ms",  # Delay between the arrival of a call and its execution.
        "answer_delay_ms",  # Delay between the execution of a call and the response.
        "lose_answers",  # Calls are executed, but the connection closes without a response.
        "reject",  # Calls are refused with 503 before their execution.
        "freeze",  # Calls are accepted, but neither executed nor responded to.
        "status",  # Status of the responses instead of 200.
        "crash",  # The process exits at once, or at the next call if the value is "call".
    )

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args)
        self.faults.update({"delay_ms": args.delay_ms})
        self.arrived = 0
        self.running = 0
        self.peak_running = 0
        self.runs: Counter[tuple[str, str, str]] = Counter()

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("--service", default="shop", help="service name in the responses")
        parser.add_argument("--delay-ms", type=float, default=0, help="duration of a call")
        parser.add_argument("--body-bytes", type=int, default=0, help="padding of the responses")

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_route("*", "/{path:.*}", self.call)

    def state(self) -> dict[str, Any]:
        runs = [
            {"key": key, "method": method, "path": path, "count": count}
            for (key, method, path), count in self.runs.items()
        ]
        return {
            "arrived": self.arrived,
            "running": self.running,
            "most_running": self.peak_running,
            "total_runs": self.runs.total(),
            "most_runs_of_a_key": max((n for (key, *_), n in self.runs.items() if key), default=0),
            "runs": runs,
        }

    def apply_faults(self) -> None:
        if self.faults.get("crash") is True:
            os._exit(70)

    async def intercept(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        self.arrived += 1
        if self.faults.get("crash") == "call":
            os._exit(70)
        while self.faults.get("freeze"):
            await asyncio.sleep(0.01)
        if self.faults.consume("reject"):
            return web.json_response({"error": "rejected"}, status=503)
        return await handler(request)

    async def call(self, request: web.Request) -> web.Response:
        """Handle one call."""
        body = await request.read()
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        # A call that has started is completed even if its client disconnects.
        return await asyncio.shield(self.run(request, body))

    async def run(self, request: web.Request, body: bytes) -> web.Response:
        """Count the execution and respond with the call's identity and the execution's number."""
        await asyncio.sleep(self.faults.get("delay_ms", 0) / 1000)
        key = request.headers.get("Idempotency-Key", "")
        identity = (key, request.method, request.path_qs)
        self.runs[identity] += 1
        self.running -= 1
        answer = {
            "service": self.args.service,
            "key": key,
            "method": request.method,
            "path": request.path_qs,
            "run": self.runs[identity],
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "padding": "x" * self.args.body_bytes,
        }
        await asyncio.sleep(self.faults.get("answer_delay_ms", 0) / 1000)
        if self.faults.consume("lose_answers"):
            abort_connection(request)
        return web.json_response(answer, status=self.faults.get("status", 200))


if __name__ == "__main__":
    main(Service)
