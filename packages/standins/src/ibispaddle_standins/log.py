"""Stand-in for the platform's append-only log, with limited retention, a rate cap and faults."""

import argparse
import asyncio
import json
import time
from typing import Any

from aiohttp import web

from .server import Handler, StandIn, abort_connection, main

# Window over which the rate cap is applied. It is short so that bursts are refused.
RATE_WINDOW_S = 0.25


class Stream:
    """The retained records of one stream."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[dict[str, Any]] = []
        self.appended = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, data: dict[str, Any], time_ms: int) -> int:
        """Append a record, wake up all waiting readers and return the record's offset."""
        offset = self.next_offset
        self.records.append({"offset": offset, "time_ms": time_ms, "data": data})
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def trim(self, max_records: int, oldest_ms: int) -> None:
        """Drop records that exceed the retention limits, oldest first."""
        drop = max(0, len(self.records) - max_records) if max_records else 0
        while drop < len(self.records) and self.records[drop]["time_ms"] < oldest_ms:
            drop += 1
        del self.records[:drop]
        self.first_offset += drop

    def read(self, start: int, limit: int) -> dict[str, Any]:
        """Return up to `limit` records, starting at offset `start`."""
        index = max(0, start - self.first_offset)
        return {
            "first_offset": self.first_offset,
            "next_offset": self.next_offset,
            "records": self.records[index : index + limit],
        }


class Log(StandIn):
    """Store all streams in memory."""

    name = "log"
    known_faults = (
        "outage",  # All requests fail with 503.
        "read_outage",
        "append_outage",
        "slow_ms",  # Delay before every response; an append takes effect before the delay.
        "lose_answers",  # Appends take effect, but the connection closes without a response.
        "refuse_connections",  # Connections close as soon as a request arrives.
        "rate_cap",  # Appends per second over all streams; 0: unlimited.
        "retention_records",  # Maximum number of records per stream; 0: unlimited.
        "retention_ms",  # Maximum age of a record; 0: unlimited.
    )

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args)
        self.faults.update(
            {name: getattr(args, name) for name in ("rate_cap", "retention_records")}
            | {"retention_ms": args.retention_ms, "slow_ms": args.slow_ms}
        )
        self.streams: dict[str, Stream] = {}
        self.appends = self.refused = self.lost_answers = self.reads = 0
        self.available_appends = 0.0
        self.available_updated_s = 0.0

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("--rate-cap", type=float, default=300, help="appends/s; 0: unlimited")
        parser.add_argument("--retention-records", type=int, default=0, help="0: unlimited")
        parser.add_argument("--retention-ms", type=int, default=0, help="0: unlimited")
        parser.add_argument("--slow-ms", type=float, default=0, help="delay of every response")

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/streams/{name}/records", self.append)
        router.add_get("/streams/{name}/records", self.read)

    def state(self) -> dict[str, Any]:
        return {
            "appends": self.appends,
            "refused": self.refused,
            "lost_answers": self.lost_answers,
            "reads": self.reads,
            "streams": {
                name: {"first_offset": s.first_offset, "next_offset": s.next_offset}
                for name, s in self.streams.items()
            },
        }

    async def intercept(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        if self.faults.consume("refuse_connections"):
            abort_connection(request)
        kind = "append_outage" if request.method == "POST" else "read_outage"
        if self.faults.consume("outage") or self.faults.consume(kind):
            return web.json_response({"error": "outage"}, status=503)
        response = await handler(request)
        await asyncio.sleep(self.faults.get("slow_ms", 0) / 1000)
        return response

    def stream(self, request: web.Request) -> Stream:
        """Return the stream that the request names, after applying the retention limits."""
        stream = self.streams.setdefault(request.match_info["name"], Stream())
        retention_ms = self.faults.get("retention_ms", 0)
        oldest_ms = int(time.time() * 1000) - retention_ms if retention_ms else 0
        stream.trim(self.faults.get("retention_records", 0), oldest_ms)
        return stream

    def exceeds_rate_cap(self) -> bool:
        """Return whether an append would exceed the rate cap; count the append if it doesn't."""
        cap = self.faults.get("rate_cap", 0)
        if not cap:
            return False
        now = time.monotonic()
        gained = (now - self.available_updated_s) * cap
        self.available_appends = min(max(1.0, cap * RATE_WINDOW_S), self.available_appends + gained)
        self.available_updated_s = now
        if self.available_appends < 1:
            return True
        self.available_appends -= 1
        return False

    async def append(self, request: web.Request) -> web.Response:
        """Handle a request to append one record."""
        try:
            data = json.loads(await request.read())
        except ValueError:
            data = None
        if not isinstance(data, dict):
            return web.json_response({"error": "the body is not a JSON object"}, status=400)
        if self.exceeds_rate_cap():
            self.refused += 1
            return web.json_response({"error": "rate cap"}, status=429)
        offset = self.stream(request).append(data, int(time.time() * 1000))
        self.appends += 1
        if self.faults.consume("lose_answers"):
            self.lost_answers += 1
            abort_connection(request)
        return web.json_response({"offset": offset})

    async def read(self, request: web.Request) -> web.Response:
        """Handle a request to read records, as a long poll if `wait_ms` is given."""
        try:
            start = int(request.query.get("from", "0"))
            limit = int(request.query.get("limit", "1000"))
            wait_ms = int(request.query.get("wait_ms", "0"))
        except ValueError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        self.reads += 1
        stream = self.stream(request)
        deadline_s = time.monotonic() + wait_ms / 1000
        while start >= stream.next_offset and (left := deadline_s - time.monotonic()) > 0:
            appended = stream.appended
            try:
                await asyncio.wait_for(appended.wait(), min(left, 0.1))
            except TimeoutError:
                if self.faults.get("outage") or self.faults.get("read_outage"):
                    return web.json_response({"error": "outage"}, status=503)
        return web.json_response(self.stream(request).read(start, limit))


if __name__ == "__main__":
    main(Log)
