"""Stand-in for the store of the users' platform: keyed topics with one partition each."""

import asyncio
import contextlib
import json
import struct
from base64 import b64encode
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from .server import Handler, StandIn, abort_connection, main

MAX_ITEMS = 500
DEFAULT_MAX_KB = 1_024
_LENGTH = struct.Struct(">I")


@dataclass
class Topic:
    """The encoded records of a topic, and the newest value and offset of each key."""

    first: int = 0
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    def copy(self) -> "Topic":
        """Return a copy, for which no read waits."""
        return Topic(self.first, list(self.records), dict(self.newest))

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, content: bytes) -> None:
        """Append a record: key length (1 byte), key and value; an empty value deletes the key."""
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append(_LENGTH.pack(len(content)) + content)
        self.appended.set()
        self.appended = asyncio.Event()

    def changes(self, start: int, max_bytes: int, max_records: int | None) -> list[bytes]:
        """Return the records from an offset on: at least one if there is any, and within the limits."""
        selected: list[bytes] = []
        size = 0
        for record in self.records[start - self.first :][:max_records]:
            size += len(record)
            if selected and size > max_bytes:
                break
            selected.append(record)
        return selected

    def compact(self) -> None:
        """Drop all records, but keep the newest value of each key."""
        self.first, self.records = self.end, []


class PlatformStore(StandIn):
    """Store all topics in memory.

    `POST /admin/copy` makes a copy of all topics, and `POST /admin/restore` goes back to the last one. That
    begins a new era, and reads that are waiting end without a response.
    """

    name = "platform_store"
    known_faults = (
        "outage",  # All requests fail with 503.
        "silent",  # Requests aren't handled for a minute.
        "lose_answers",  # Appends take effect, but the connection closes without a response.
        "read_delay_ms",  # Time after which a read is answered, with the data of that time.
        "read_kb_per_s",  # Rate at which the responses to reads are sent.
        "max_read_records",  # Changes in one response; there are fewer than `max_kb` allows.
        "max_read_items",  # Newest records in one response.
    )

    def __init__(self, args: Any) -> None:
        super().__init__(args)
        self._topics: dict[str, Topic] = {}
        self._copy: dict[str, Topic] = {}
        self._era = 1
        self._calls = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers of the interface."""
        router.add_post("/ibispaddle/log-append", self._append)
        router.add_get("/ibispaddle/log-read", self._read)
        router.add_get("/ibispaddle/log-newest", self._newest)
        router.add_post("/admin/put", self._put)
        router.add_post("/admin/compact", self._compact)
        router.add_post("/admin/copy", self._make_copy)
        router.add_post("/admin/restore", self._restore)

    def state(self) -> dict[str, Any]:
        """Return the keys of each topic and the number of requests."""
        keys = {name: sorted(topic.newest) for name, topic in self._topics.items()}
        return {"keys": keys, "calls": self._calls}

    async def intercept(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Count the request, apply the faults and name the era in the response."""
        self._calls += 1
        if self.faults.get("silent"):
            await asyncio.sleep(60)
        if self.faults.get("outage"):
            return web.Response(status=503)
        era = self._era
        response = await handler(request)
        if era != self._era:
            abort_connection(request)
        response.headers["Store-Era"] = str(era)
        return response

    def _topic(self, request: web.Request) -> Topic:
        return self._topics.setdefault(request.query["topic"], Topic())

    async def _append(self, request: web.Request) -> web.Response:
        topic, body, position = self._topic(request), await request.read(), 0
        offset = topic.end
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            topic.append(body[position + _LENGTH.size : position + _LENGTH.size + length])
            position += _LENGTH.size + length
        if self.faults.get("lose_answers"):
            abort_connection(request)
        return web.json_response({"offset": offset, "end": topic.end})

    async def _read(self, request: web.Request) -> web.Response:
        topic, start = self._topic(request), int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= topic.end and wait_s:
            with contextlib.suppress(TimeoutError):  # Without new records the response has none.
                await asyncio.wait_for(topic.appended.wait(), wait_s)
        await self._delay_read()
        if not topic.first <= start <= topic.end:
            return web.json_response({"first": topic.first}, status=410)
        max_bytes = int(request.query.get("max_kb", DEFAULT_MAX_KB)) * 1_024
        records = topic.changes(start, max_bytes, self.faults.get("max_read_records"))
        body = struct.pack(">QQ", topic.end, topic.first) + b"".join(records)
        await self._send_slowly(body)
        return web.Response(body=body)

    async def _delay_read(self) -> None:
        await asyncio.sleep(self.faults.get("read_delay_ms", 0) / 1_000)

    async def _send_slowly(self, body: bytes) -> None:
        kb_per_s = self.faults.get("read_kb_per_s")
        if kb_per_s is not None:
            await asyncio.sleep(len(body) / 1_024 / kb_per_s)

    async def _newest(self, request: web.Request) -> web.Response:
        topic, after = self._topic(request), request.query.get("after", "")
        await self._delay_read()
        max_items = self.faults.get("max_read_items", MAX_ITEMS)
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {"key": key, "value": b64encode(value).decode(), "offset": offset}
            for key in keys[:max_items]
            for value, offset in [topic.newest[key]]
        ]
        more = len(keys) > max_items
        body = json.dumps({"items": items, "has_more": more, "end": topic.end}).encode()
        await self._send_slowly(body)
        return web.Response(body=body, content_type="application/json")

    async def _put(self, request: web.Request) -> web.Response:
        record = await request.json()
        key, value = record["key"].encode(), (record["value"] or "").encode()
        topic = self._topics.setdefault(record["topic"], Topic())
        topic.append(bytes([len(key)]) + key + value)
        return web.json_response({})

    async def _compact(self, request: web.Request) -> web.Response:
        self._topics[(await request.json())["topic"]].compact()
        return web.json_response({})

    async def _make_copy(self, request: web.Request) -> web.Response:
        self._copy = copy_topics(self._topics)
        return web.json_response({})

    async def _restore(self, request: web.Request) -> web.Response:
        replaced, self._topics = self._topics, copy_topics(self._copy)
        self._era += 1
        for topic in replaced.values():
            topic.appended.set()
        return web.json_response({})


def copy_topics(topics: dict[str, Topic]) -> dict[str, Topic]:
    """Return copies of topics."""
    return {name: topic.copy() for name, topic in topics.items()}


if __name__ == "__main__":
    main(PlatformStore)
