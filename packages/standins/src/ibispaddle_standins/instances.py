"""Stand-in for the instance list: serves the entries that a test sets, after a configurable lag."""

import argparse
import asyncio
import time
from typing import Any

from aiohttp import web

from .server import Handler, StandIn, main


class InstanceList(StandIn):
    """Serve the newest version of the list whose lag has passed."""

    name = "instances"
    known_faults = ("outage", "delay_ms", "lag_ms")

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args)
        self.faults.update({"lag_ms": args.lag_ms})
        # Pairs of a list and the monotonic time from which it is visible; the time comes first.
        self.lists: list[tuple[float, dict[str, Any]]] = [(0.0, {"version": 0, "entries": []})]
        self.reads = 0

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        parser.add_argument(
            "--lag-ms", type=int, default=0, help="delay before a change is visible"
        )

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_get("/instances", self.read)
        router.add_put("/admin/entries", self.replace)

    def state(self) -> dict[str, Any]:
        return {"reads": self.reads, "visible": self.visible(), "newest": self.lists[-1][1]}

    async def intercept(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        await asyncio.sleep(self.faults.get("delay_ms", 0) / 1000)
        if self.faults.consume("outage"):
            return web.json_response({"error": "outage"}, status=503)
        return await handler(request)

    def visible(self) -> dict[str, Any]:
        """Return the currently visible version of the list."""
        now = time.monotonic()
        while len(self.lists) > 1 and self.lists[1][0] <= now:
            self.lists.pop(0)
        return self.lists[0][1]

    async def read(self, request: web.Request) -> web.Response:
        """Respond with the visible version of the list."""
        self.reads += 1
        return web.json_response(self.visible())

    async def replace(self, request: web.Request) -> web.Response:
        """Replace all entries; a `lag_ms` in the body overrides the configured lag."""
        document = await request.json()
        lag_ms = document.get("lag_ms", self.faults.get("lag_ms", 0))
        version = self.lists[-1][1]["version"] + 1
        entries = {"version": version, "entries": document["entries"]}
        # A change never becomes visible before an earlier one, even if its lag is shorter.
        shown_at = max(time.monotonic() + lag_ms / 1000, self.lists[-1][0])
        self.lists.append((shown_at, entries))
        return web.json_response({"version": version})


if __name__ == "__main__":
    main(InstanceList)
