"""Consumers that connect to instances as the platform's balancer chooses them."""

import asyncio
import itertools
import random
import threading
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import h11

from tests.soak.callers import Call, Connection

from .processes import KEY, Instance

CHECK_INTERVAL_S = 1.0
MISSES_BEFORE_LEAVING = 2
# Fraction of a data centre's instances below which the balancer uses all of them.
MIN_ROTATION_FRACTION = 0.5
# Requests after which a consumer connects to an instance again.
REQUESTS_PER_INSTANCE = 6
CONSUMERS = 36
# Time after its deadline for which a consumer waits for an answer.
PATIENCE_S = 1.0
STREAM_HEADERS = (("Token-Count", "1000,200"),)
END_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class Kind:
    """A kind of requests; a body longer than `part_bytes` is sent in parts."""

    route: str
    weight: int
    deadline_ms: int
    body_bytes: int = 0
    part_bytes: int | None = None
    headers: tuple[tuple[str, str], ...] = ()


KINDS = (
    Kind("read", 2, 1_000),
    Kind("once", 2, 1_000, 200),
    Kind("stream", 4, 2_000, 2_000, headers=STREAM_HEADERS),
    Kind("upload", 2, 2_000, 200_000, 50_000),
)
UPLOAD_PAUSE_S = 0.05


class Rotation:
    """The instances that receive new connections, by the platform's readiness checks."""

    def __init__(self, instances: Sequence[Instance]) -> None:
        self._instances = instances
        self._misses = Counter[int]()

    async def run(self) -> None:
        """Check all instances until the task is cancelled."""
        while True:
            checks = (asyncio.to_thread(instance.is_ready) for instance in self._instances)
            for number, is_ready in enumerate(await asyncio.gather(*checks)):
                self._misses[number] = 0 if is_ready else self._misses[number] + 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def choose(self, rng: random.Random, data_centre: str) -> int:
        """Return the number of the instance for a new connection of a consumer in a data centre."""
        by_data_centre: dict[str, list[int]] = {}
        for number, instance in enumerate(self._instances):
            by_data_centre.setdefault(instance.data_centre, []).append(number)
        own = by_data_centre.pop(data_centre)
        if found := self._in_rotation(own):
            return rng.choice(found)
        others = [n for numbers in by_data_centre.values() for n in self._in_rotation(numbers)]
        return rng.choice(others or own)

    def _in_rotation(self, numbers: list[int]) -> list[int]:
        found = [n for n in numbers if self._misses[n] < MISSES_BEFORE_LEAVING]
        return numbers if 0 < len(found) < MIN_ROTATION_FRACTION * len(numbers) else found


class _Consumer:
    """Keeps connections to one instance, which it chooses again after some requests."""

    _numbers = itertools.count(1)

    def __init__(self, number: int, rotation: Rotation, instances: Sequence[Instance]) -> None:
        self._rng = random.Random(f"consumer/{number}")
        data_centres = sorted({instance.data_centre for instance in instances})
        self._data_centre = data_centres[number % len(data_centres)]
        self._rotation, self._instances = rotation, instances
        self._instance = self._requests_left = 0
        self._idle: list[Connection] = []

    async def send(self, calls: list[Call], kind: Kind) -> None:
        """Send a request and record it."""
        if not self._requests_left:
            self.close_connections()
            self._instance = self._rotation.choose(self._rng, self._data_centre)
            self._requests_left = REQUESTS_PER_INSTANCE
        self._requests_left -= 1
        instance = self._instance
        attempt_id = f"c{next(self._numbers)}"
        conn = self._idle.pop() if self._idle else None
        path = f"/{kind.route}/x?n={attempt_id}"
        call = Call(attempt_id, kind.route, path, KEY, instance, conn is not None)
        calls.append(call)
        call.sent_s = time.monotonic()
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000 + PATIENCE_S):
                if conn is None:
                    port = self._instances[instance].port
                    conn = Connection(*await asyncio.open_connection("127.0.0.1", port))
                body = b"x" * kind.body_bytes
                headers = self._headers(call, kind)
                if (
                    await conn.exchange(call, headers, body, kind.part_bytes, UPLOAD_PAUSE_S)
                    and instance == self._instance
                ):
                    self._idle.append(conn)
                    conn = None
        except TimeoutError:
            call.outcome = "no answer"
        except (OSError, h11.ProtocolError) as exc:
            call.outcome = f"closed: {exc}"
        finally:
            call.ended_s = time.monotonic()
            if not call.is_success:
                self._requests_left = 0
            if conn is not None:
                conn.close()

    def _headers(self, call: Call, kind: Kind) -> list[tuple[str, str]]:
        return [
            ("Host", "a.example"),
            ("Key", call.key),
            ("Attempt-Id", call.attempt_id),
            ("Deadline-Ms", str(kind.deadline_ms)),
            ("Content-Length", str(kind.body_bytes)),
            *kind.headers,
        ]

    def close_connections(self) -> None:
        """Close the idle connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()


class Consumers:
    """Sends requests at a rate, whatever becomes of those before, from a thread."""

    def __init__(self, instances: Sequence[Instance], requests_per_s: float) -> None:
        self.calls: list[Call] = []
        self._instances, self._interval_s = instances, 1 / requests_per_s
        self._is_ended = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)
        self._thread.start()

    async def _run(self) -> None:
        rotation = Rotation(self._instances)
        checking = asyncio.create_task(rotation.run())
        consumers = [_Consumer(n, rotation, self._instances) for n in range(CONSUMERS)]
        rng = random.Random("arrivals")
        weights = [kind.weight for kind in KINDS]
        next_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            while not self._is_ended.is_set():
                kind = rng.choices(KINDS, weights)[0]
                group.create_task(rng.choice(consumers).send(self.calls, kind))
                next_s += self._interval_s
                await asyncio.sleep(max(0.0, next_s - time.monotonic()))
        checking.cancel()
        for consumer in consumers:
            consumer.close_connections()

    def end(self) -> None:
        """Send no more requests, and wait for the answers."""
        self._is_ended.set()
        self._thread.join(END_TIMEOUT_S)
