"""A small deployment on loopback: the platform's store, runners, consumers and instances.

The instances are the project's own program, started with the command of the deploy file. All others
are stand-ins that use the standard library only and keep to the users' pages: the store is a
linearizable log, and the runners are sound servers unless a case gives them a disruption.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

LIBRARY = Path(__file__).resolve().parent
ROOT = LIBRARY.parents[1]
HOST = "ficu95.example"
KEY, TENANT = "n2ctnfzs989anu6wsjnb", "hule930"
LACE, BUTIK = "huvo11a", "wuno96b"
STREAM_PATH, ARCHIVE_PATH = "/lohu930/", "/defi217/"
HOLD_PATH, LOOKUP_PATH = "/puxa403/", "/cufi504/"
HEARTBEAT_S = 1.2
MEMORY_MB = 300

BROKEN, HELD, NOT_RUN = 1, 0, 2


class CaseError(Exception):
    """The case could not run."""


def with_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file with all that was sent, answered and run, in seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, what: str, **values: object) -> None:
        fields = " ".join(f"{name}={value}" for name, value in values.items())
        line = f"{time.monotonic() - self._started_s:8.3f} {what} {fields}".rstrip()
        self._file.write(line + "\n")
        self._file.flush()

    def verdict(self, text: str) -> None:
        self.write("VERDICT", text=repr(text))
        print(text)


# HTTP/1.1


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head; return its first line and the headers with names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a complete response."""
    names = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in names.items())
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode("latin-1") + body


@dataclass
class ReceivedRequest:
    """A request as a server reads it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Server:
    """An HTTP server; subclasses answer in `respond`."""

    address = ""
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is None:
            return
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.respond(ReceivedRequest(method, target, headers, body), writer, reader)
        self._writers.discard(writer)
        writer.close()

    async def respond(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ) -> None:
        raise NotImplementedError


# The platform's store


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, content: bytes) -> None:
        key, value = content[1 : 1 + content[0]].decode(), content[1 + content[0] :]
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append(struct.pack(">I", len(content)) + content)
        self.appended.set()
        self.appended = asyncio.Event()


class Store(Server):
    """Keyed topics of one partition, as `PROTOCOL.md` describes them."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}

    def topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator and the runners do; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append(bytes([len(key)]) + key.encode() + data)

    async def respond(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ) -> None:
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        topic = self.topic(query.get("topic", ""))
        match path.rpartition("/")[2]:
            case "log-append":
                offset, position = len(topic.records), 0
                while position < len(request.body):
                    (length,) = struct.unpack_from(">I", request.body, position)
                    topic.append(request.body[position + 4 : position + 4 + length])
                    position += 4 + length
                answer = json.dumps({"offset": offset, "end": len(topic.records)}).encode()
            case "log-read":
                start = int(query["from"])
                if start >= len(topic.records) and query.get("wait_ms", "0") != "0":
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(topic.appended.wait(), int(query["wait_ms"]) / 1000)
                answer = struct.pack(">QQ", len(topic.records), 0)
                answer += b"".join(topic.records[start:])
            case "log-newest":
                items = [
                    {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                    for key, (value, offset) in sorted(topic.newest.items())
                    if key > query.get("after", "")
                ]
                end = len(topic.records)
                answer = json.dumps(
                    {"items": items[:500], "has_more": len(items) > 500, "end": end}
                ).encode()
            case _:
                writer.write(encode_response(404, {}, b"{}"))
                return
        writer.write(encode_response(200, {"Content-Type": "application/json"}, answer))
        await writer.drain()


# Runners


class Runner(Server):
    """A sound runner: a stream of events for requests with `Token-Count`, else a short answer."""

    def __init__(self, name: str, service: str, record: Record, work_s: float = 0.02) -> None:
        self.name, self.service, self.work_s = name, service, work_s
        self.record = record
        self.runs: list[str] = []  # Attempt ids.
        self._born = time.time_ns() // 1_000_000

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the entry with which the runner registers itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "svea-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": 0,
            "born": self._born,
        }

    async def respond(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ) -> None:
        headers = {"Attempt-Id": request.headers.get("attempt-id", "")}
        if request.target == "/ibispaddle/report":
            report = {"stage": "mixed", "busy": False, "seq": 0, "born": self._born}
            writer.write(encode_response(200, {}, json.dumps(report).encode()))
            return
        if request.target == "/ibispaddle/order":
            # Reservations are granted: the memory of these runners is free.
            writer.write(encode_response(200, {}, b'{"free":200000}'))
            return
        if request.target == "/healthz":
            writer.write(encode_response(200, {"Instance-Id": self.name}, b""))
            return
        if request.headers.get("expect-instance", self.name) != self.name:
            writer.write(encode_response(421, {"Instance-Id": self.name}, b""))
            return
        self.runs.append(headers["Attempt-Id"])
        self.record.write("run", runner=self.name, id=headers["Attempt-Id"])
        headers["Server-Stamp"] = f"{self.name}.{len(self.runs)}"
        if "token-count" not in request.headers:
            await asyncio.sleep(self.work_s)
            writer.write(encode_response(200, headers, b"x" * 800))
            await writer.drain()
            return
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(
            f"HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, 33):
            await asyncio.sleep(0.04)
            event = b"id: %d\ndata: %s\n\n" % (number, b"y" * 55)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# Consumers


@dataclass
class Answer:
    """What a consumer saw of one request; `status` is 0 without a complete answer."""

    attempt_id: str
    status: int
    duration_s: float
    failure: str = ""


class Consumer:
    """A consumer with one kept connection."""

    def __init__(self, record: Record, address: str) -> None:
        self.record, self._address = record, address
        self._conn: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def connect(self) -> None:
        host, _, port = self._address.rpartition(":")
        self._conn = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        if self._conn is not None:
            self._conn[1].close()
        self._conn = None

    async def send(
        self,
        method: str,
        path: str,
        attempt_id: str,
        limit_ms: int,
        body: bytes = b"",
        wait_s: float | None = None,
        **headers: str,
    ) -> Answer:
        """Send a request and read the whole answer, for `wait_s` at most."""
        started_s = time.monotonic()
        status, failure = 0, ""
        self.record.write("sent", id=attempt_id, to=self._address, method=method, path=path)
        try:
            async with asyncio.timeout(wait_s if wait_s is not None else limit_ms / 1000):
                if self._conn is None:
                    await self.connect()
                assert self._conn is not None
                reader, writer = self._conn
                writer.write(request_bytes(method, path, attempt_id, limit_ms, body, **headers))
                await writer.drain()
                first, names = await read_head(reader)
                await read_body(reader, names)
                status = int(first.split()[1])
                if names.get("connection", "").lower() == "close":
                    self.close()
        except TimeoutError:
            failure = "no answer"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            failure = f"connection ended ({type(exc).__name__})"
            self.close()
        answer = Answer(attempt_id, status, time.monotonic() - started_s, failure)
        self.record.write(
            "answered" if status else "unanswered",
            id=attempt_id,
            status=status,
            after_ms=round(1000 * answer.duration_s),
            failure=failure or "-",
        )
        return answer


def request_bytes(
    method: str, path: str, attempt_id: str, limit_ms: int, body: bytes = b"", **headers: str
) -> bytes:
    """Return a proper request of a consumer."""
    names = {"Host": HOST, "Attempt-Id": attempt_id, "Deadline-Ms": str(limit_ms), "Key": KEY}
    names |= {name.replace("_", "-"): value for name, value in headers.items()}
    if method == "POST":
        names["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in names.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


STREAM_HEADERS = {"Model": "m", "Token_Count": "5000,1400", "Prefix_Hash": "5c1e07a2:40,91bd3f06:4960"}


# Instances


class Instance:
    """A process of the system."""

    def __init__(self, number: int, folder: Path, store: Store, record: Record) -> None:
        self.name = f"edge-svea-a-{number}"
        self._record, self._folder, self._store = record, folder, store
        self._path = folder / f"{self.name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.choose_ports()

    def choose_ports(self) -> None:
        """Write the settings file with free ports."""
        first = _free_port_range(19)
        ports = range(first + 16, first + 19)
        self.front, self.ready, control = (f"127.0.0.1:{port}" for port in ports)
        self._path.write_text(
            f"""node_name = "{self.name}"
role = "instance"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "svea-a"
region = "svealand"
port_range = [{first},{first + 15}]
seeds = ["{control}"]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
svea-a = "svealand"
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {MEMORY_MB}
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
[platform]
address = "{self._store.address}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 24
append_ms = 1.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""
        )

    def last_lines(self) -> list[str]:
        """Return the end of what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace").splitlines()[-3:]

    async def start(self) -> None:
        """Start the process with the deploy file's command."""
        text = (ROOT / "deploy" / "system.toml").read_text()
        found = re.search(r'^run = "(.*)"$', text, re.MULTILINE)
        if found is None:
            raise CaseError("the deploy file names no command")
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target" / "deps"), "IBISPADDLE_CONFIG": str(self._path)}
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *found[1].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.write("started", instance=self.name, pid=self.process.pid)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def is_ready(self, wait_s: float = 1.0) -> bool:
        """Ask as the platform does."""
        host, _, port = self.ready.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await read_head(reader)
                return first.split()[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        ends_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > ends_s or not self.is_running:
                raise CaseError(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)
        self._record.write("ready", instance=self.name)

    def resident_mb(self) -> float:
        """Return the memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text() if self.process else ""
        except OSError:
            return 0.0
        found = re.search(r"^VmRSS:\s+(\d+) kB", text, re.MULTILINE)
        return int(found[1]) / 1024 if found else 0.0

    def signal(self, number: signal.Signals) -> None:
        if self.is_running and self.process is not None:
            self._record.write("signal", instance=self.name, name=number.name)
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.is_running and self.process is not None:
            self.process.kill()
            await self.process.wait()


def _free_port_range(count: int) -> int:
    """Return the first of some free ports, below those that the system gives to connections."""
    for _ in range(1_000):
        first = random.randrange(10_000, 32_000 - count)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    stack.enter_context(socket.socket()).bind(("127.0.0.1", port))
            except OSError:
                continue
            return first
    raise CaseError("no free range of ports")


# The whole deployment


ENGINE = {
    "slots": 8,
    "kv_capacity": 232000,
    "kv_token_bytes": 327680,
    "stride": 43,
    "models": [{"name": "m"}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00452,
    "context_per_k": 0.00431,
    "read_per_s": 206000.0,
    "pairs_per_m": 0.138,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 12316, "answer": 1303},
    "hop_ms": 0.075,
}


def configuration(version: int = 1) -> dict[str, object]:
    """Return the operator's configuration, with the figures of the Slojverkstan sheet."""

    def route(name: str, path: str, kind: str, service: str, **values: object) -> dict[str, object]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": path,
            "kind": kind,
            "priority": 1,
            "service": service,
            "attempts": 2,
            "public": False,
            **values,
        }

    return {
        "version": version,
        "routes": [
            route(
                "motif-draft",
                STREAM_PATH,
                "streaming",
                LACE,
                timeout_ms=10000,
                slo_ms=300,
                sticky=True,
                resumable=True,
                gap_aim_ms=250,
            ),
            route(
                "archive-sift",
                ARCHIVE_PATH,
                "streaming",
                LACE,
                timeout_ms=15000,
                slo_ms=2500,
                sticky=True,
                resumable=True,
                gap_aim_ms=1000,
            ),
            route(
                "deposit-hold",
                HOLD_PATH,
                "non_idempotent",
                BUTIK,
                timeout_ms=600,
                slo_ms=100,
                attempts=1,
            ),
            route("order-lookup", LOOKUP_PATH, "idempotent", BUTIK, timeout_ms=600, slo_ms=100),
        ],
        "services": [
            {"name": LACE, "health_path": "/healthz", "max_conns": 264, "engine": ENGINE},
            {"name": BUTIK, "health_path": "/healthz", "max_conns": 96},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Deployment:
    """The store, the runners and the instances of a case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = Store()
        self.runners: list[Runner] = []
        self.instances: list[Instance] = []
        self.processes: list[asyncio.subprocess.Process] = []  # Stand-ins of the case.
        self._tasks: list[asyncio.Task[None]] = []
        self._beats: dict[str, asyncio.Task[None]] = {}

    async def start(self, runners: list[Runner], instances: int) -> None:
        await self.store.start()
        self.store.put("keyed.op", "config", configuration())
        for runner in runners:
            await self.add_runner(runner)
        for number in range(1, instances + 1):
            self.instances.append(Instance(number, self.folder, self.store, self.record))
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await self._wait_until_ready(instance)

    async def _wait_until_ready(self, instance: Instance) -> None:
        """Wait until an instance is ready; start it with other ports if one was taken meanwhile."""
        for _ in range(3):
            try:
                await instance.wait_until_ready()
                return
            except CaseError as exc:
                self.record.write("not ready", instance=instance.name, log=instance.last_lines())
                if instance.is_running:
                    raise CaseError(f"{instance.name} does not become ready") from exc
            instance.choose_ports()
            await instance.start()
        raise CaseError(f"{instance.name} does not start")

    async def add_runner(self, runner: Runner) -> None:
        """Start a runner, which then writes its entry at each heartbeat."""
        await runner.start()
        self.runners.append(runner)
        self.register(runner.name, runner.entry())

    def register(self, name: str, entry: dict[str, object]) -> None:
        """Write an entry now and at each heartbeat."""

        async def beat() -> None:
            while True:
                self.store.put("keyed.servers", name, entry)
                entry["seq"] = int(str(entry["seq"])) + 1
                await asyncio.sleep(HEARTBEAT_S)

        self._beats[name] = asyncio.create_task(beat())

    def silence(self, name: str) -> None:
        """End a runner's heartbeats; its entry is removed after three intervals."""
        self._beats.pop(name).cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.store.put, "keyed.servers", name, None)

    async def add_faulty_runner(self, name: str, kind: str) -> None:
        """Start a runner that answers with bytes without end, and register it."""
        born = time.time_ns() // 1_000_000
        process = await self.start_stand_in(
            str(LIBRARY / "faulty_runner.py"), "--id", name, "--born", str(born), "--bytes", kind
        )
        lines = process.stdout
        assert lines is not None
        runner = Runner(name, LACE, self.record)
        runner.address = "127.0.0.1:%d" % int(await lines.readline())
        self.register(name, runner.entry() | {"born": born})

        async def log_runs() -> None:
            async for line in lines:
                self.record.write("run", runner=name, id=line.decode().strip())

        self._tasks.append(asyncio.create_task(log_runs()))

    async def start_stand_in(self, *arguments: str) -> asyncio.subprocess.Process:
        """Start a stand-in of the case as a process of its own."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
        )
        self.processes.append(process)
        return process

    async def end(self) -> None:
        for task in (*self._tasks, *self._beats.values()):
            task.cancel()
        for instance in self.instances:
            await instance.end()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in (self.store, *self.runners):
            await server.stop()
        await asyncio.sleep(0.2)  # The tasks of the closed connections end.
        self._folder.cleanup()


def run_case(file: str, case: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Run a case, which returns whether the rule was broken, and exit with its status."""
    record = Record(Path(file).resolve().parent)
    record.write("case", trouble=int(with_trouble()))

    async def run() -> int:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(110):
                is_broken = await case(deployment)
        finally:
            await deployment.end()
        return BROKEN if is_broken else HELD

    try:
        if not (ROOT / "target" / "deps" / "ibispaddle_platform").is_dir():
            raise CaseError("the build of the deploy file is missing")
        status = asyncio.run(run())
    except (CaseError, OSError, TimeoutError) as exc:
        record.verdict(f"the case could not run: {type(exc).__name__}: {exc}")
        status = NOT_RUN
    record.write("exit", status=status)
    sys.exit(status)
