"""Callers with persistent connections, and a record of each of their requests."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

TIME_LIMIT_S = 3.0
EVENT_COUNT = 5
PATHS = {"stream": "/stream/x", "once": "/once/x", "read": "/read/x"}


@dataclass(slots=True)
class Call:
    """One request and its response.

    Times are monotonic seconds; `outcome` is the response's status, or how the request failed.
    """

    attempt_id: str
    route: str
    path: str
    key: str
    instance: int
    is_connection_reused: bool
    sent_s: float = 0.0
    ended_s: float = 0.0
    outcome: int | str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    @property
    def is_success(self) -> bool:
        """Return whether the caller received a complete successful response."""
        return self.is_complete and self.outcome == 200


class Connection:
    """One persistent connection to an instance."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.http = h11.Connection(h11.CLIENT)
        self.is_used = False

    async def exchange(
        self,
        call: Call,
        headers: list[tuple[str, str]],
        body: bytes,
        part_bytes: int | None = None,
        pause_s: float = 0.0,
    ) -> bool:
        """Send a request and record its response; return whether the connection can be reused.

        With `part_bytes`, the body is sent in parts of this size, with pauses between them.
        """
        method = "GET" if call.route == "read" else "POST"
        request = h11.Request(method=method, target=call.path, headers=headers)
        data = self.http.send(request)
        size = part_bytes or max(1, len(body))
        for begin in range(0, len(body), size):
            if begin:
                self.writer.write(data)
                await self.writer.drain()
                await asyncio.sleep(pause_s)
                data = b""
            data += self.http.send(h11.Data(data=body[begin : begin + size]))
        data += self.http.send(h11.EndOfMessage())
        self.writer.write(data)
        await self.writer.drain()
        parts: list[bytes] = []
        while True:
            event = self.http.next_event()
            match event:
                case h11.NEED_DATA:
                    self.http.receive_data(await self.reader.read(65_536))
                case h11.Response():
                    call.outcome = event.status_code
                    call.headers = {k.decode(): v.decode() for k, v in event.headers}
                case h11.Data():
                    parts.append(bytes(event.data))
                    call.body = b"".join(parts)
                case h11.EndOfMessage():
                    call.is_complete = True
                    break
                case h11.ConnectionClosed():
                    break
        self.is_used = True
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    def close(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


class Caller:
    """Sends requests sequentially, each to a random instance."""

    _numbers = itertools.count(1)

    def __init__(
        self, number: int, seed: int, ports: Callable[[], list[int]], keys: Callable[[], list[str]]
    ) -> None:
        self.rng = random.Random(f"caller/{seed}/{number}")
        self.ports, self.keys = ports, keys
        self.calls: list[Call] = []
        self._open: dict[int, Connection] = {}

    async def run(self, is_run_over: Callable[[], bool]) -> None:
        """Send requests until the run is over."""
        while not is_run_over():
            await self._send()
            await asyncio.sleep(self.rng.uniform(0.0, 0.15))
        for conn in self._open.values():
            conn.close()

    async def _send(self) -> None:
        instance = self.rng.randrange(len(self.ports()))
        route = self.rng.choice(["stream", "stream", "once", "read"])
        conn = self._open.pop(instance, None)
        attempt_id = f"soak-{next(self._numbers)}"
        key = self.rng.choice(self.keys())
        path = f"{PATHS[route]}?n={attempt_id}"
        call = Call(attempt_id, route, path, key, instance, conn is not None)
        self.calls.append(call)
        call.sent_s = time.monotonic()
        try:
            async with asyncio.timeout(TIME_LIMIT_S + 2):
                if conn is None:
                    opened = await asyncio.open_connection("127.0.0.1", self.ports()[instance])
                    conn = Connection(*opened)
                if await conn.exchange(call, self._headers(call), attempt_id.encode()):
                    self._open[instance] = conn
                    conn = None
        except TimeoutError:
            call.outcome = "no answer"
        except ConnectionRefusedError:
            call.outcome = "refused connection"
        except (OSError, h11.RemoteProtocolError) as exc:
            if call.outcome == "":
                call.outcome = f"closed: {exc}"
        finally:
            call.ended_s = time.monotonic()
            if conn is not None:
                with contextlib.suppress(OSError):
                    conn.close()

    def _headers(self, call: Call) -> list[tuple[str, str]]:
        length = len(call.attempt_id)
        headers = [
            ("Host", "a.example"),
            ("Key", call.key),
            ("Attempt-Id", call.attempt_id),
            ("Deadline-Ms", str(int(TIME_LIMIT_S * 1000))),
            ("Content-Length", str(length)),
        ]
        if call.route == "stream":
            headers.append(("Token-Count", "1000,200"))
        return headers
