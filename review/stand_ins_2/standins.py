"""Stand-ins of the platform for the scripts of this review; only the standard library is used.

One event loop holds the store, the runners and the consumers. The instances are the project's own
program, started as separate processes with the command of `deploy/system.toml`.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEYS = {"hule930": ["n2ctnfzs989anu6wsjnb"], "wena112": ["anfqasnmgkcuyj8pjbvk"]}
HOST = "ficu95.example"


class Record:
    """What was sent, answered and run; written to `record.txt` in the folder of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()

    def verdict(self, status, text):
        word = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[status]
        self(f"verdict: {word}: {text}")
        print(f"{word}: {text}")
        return status


# HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(item.partition("=")[::2] for item in query.split("&") if item)


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def serve(handler, port=0):
    """Serve HTTP/1.1 on loopback; `handler(request, writer, reader)` writes each answer itself."""

    async def connected(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = b""
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = b"".join([part async for part in read_chunks(reader)])
                elif headers.get("content-length"):
                    body = await reader.readexactly(int(headers["content-length"]))
                if await handler(Request(method, target, headers, body), writer, reader) is False:
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connected, "127.0.0.1", port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


def answer(writer, status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)


# The store

_LENGTH = struct.Struct(">I")


class Topic:
    def __init__(self):
        self.records, self.newest, self.news = [], {}, asyncio.Event()

    def append(self, content):
        size = content[0]
        key, value = content[1 : 1 + size], content[1 + size :]
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append(_LENGTH.pack(len(content)) + content)
        self.news.set()
        self.news = asyncio.Event()


class Store:
    """Keyed topics with one partition. Each machine reaches it at a port of its own (a gate)."""

    ANSWER_S, READ_BYTES_PER_S = 0.004, 80e6

    def __init__(self, record):
        self.record, self.topics, self.gates, self.reads = record, {}, {}, {}
        self._servers = []

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write a record as the operator or a runner does; None removes the key."""
        data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        name = key.encode()
        self.topic(topic).append(bytes([len(name)]) + name + data)
        self.record(f"store confirms {topic}/{key}: {len(data)} bytes")
        return time.monotonic()

    async def open_gate(self, machine):
        self.gates[machine], self.reads[machine] = "open", 0

        async def handle(request, writer, reader):
            return await self._handle(machine, request, writer)

        server, port = await serve(handle)
        self._servers.append(server)
        return port

    async def _handle(self, machine, request, writer):
        if self.gates[machine] == "busy":
            answer(writer, 503)
            return None
        await asyncio.sleep(self.ANSWER_S)
        topic = self.topic(request.query.get("topic", ""))
        if request.path == "/ibispaddle/log-append":
            offset, position = len(topic.records), 0
            while position < len(request.body):
                (size,) = _LENGTH.unpack_from(request.body, position)
                topic.append(request.body[position + 4 : position + 4 + size])
                position += 4 + size
            body = {"offset": offset, "end": len(topic.records)}
            answer(writer, 200, json.dumps(body).encode(), Content_Type="application/json")
        elif request.path == "/ibispaddle/log-newest":
            items = [
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(topic.newest.items())
            ]
            body = {"items": items, "has_more": False, "end": len(topic.records)}
            answer(writer, 200, json.dumps(body).encode(), Content_Type="application/json")
        elif request.path == "/ibispaddle/log-read":
            if request.query["topic"] == "keyed.op":
                self.reads[machine] += 1
            start, wait_ms = int(request.query["from"]), int(request.query.get("wait_ms", "0"))
            if start >= len(topic.records) and wait_ms:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(topic.news.wait(), wait_ms / 1000)
                if self.gates[machine] == "busy":
                    answer(writer, 503)
                    return None
            body = struct.pack(">QQ", len(topic.records), 0)
            # As the page says: at most `max_kb` (1,024) of records in one answer.
            limit, sent = 1024 * int(request.query.get("max_kb", "1024")), 0
            for item in topic.records[start:]:
                if sent and sent + len(item) > limit:
                    break
                body, sent = body + item, sent + len(item)
            await asyncio.sleep(sent / self.READ_BYTES_PER_S)
            answer(writer, 200, body)
        else:
            answer(writer, 404)
        return None


# Runners


class Runner:
    """A sound runner; `work(request, writer, reader)` is replaced by the cases."""

    def __init__(self, record, name, service, zone="svea-a"):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.runs = []  # (time, attempt id, tenant, path)
        self.port = 0
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.draining = False

    async def start(self):
        self.server, self.port = await serve(self._handle)
        return self

    def entry(self):
        self.seq += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def _handle(self, request, writer, reader):
        if request.path == "/ibispaddle/report":
            body = {"stage": "mixed", "models": [], "busy": False, "seq": 0, "queued": 0}
            body |= {"running": 0, "kv_used": 0, "kv_total": 232000, "handles": 0, "born": self.born}
            answer(writer, 200, json.dumps(body).encode(), Content_Type="application/json")
            return None
        if request.path == "/healthz":
            answer(writer, 200, b"", Instance_Id=self.name)
            return None
        if request.path == "/ibispaddle/order":
            return await self.order(json.loads(request.body), writer)
        attempt = request.headers.get("attempt-id", "")
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            answer(writer, 421, b"", Attempt_Id=attempt, Instance_Id=self.name)
            return None
        self.runs.append((time.monotonic(), attempt, request.headers.get("tenant"), request.target))
        self.record(f"runner {self.name} runs {attempt} {request.method} {request.target}")
        return await self.work(request, writer, reader)

    async def order(self, order, writer):
        answer(writer, 200, b'{"free":200000}', Content_Type="application/json")

    async def work(self, request, writer, reader):
        await asyncio.sleep(0.0225)
        attempt = request.headers.get("attempt-id", "")
        answer(writer, 200, b"x" * 800, Attempt_Id=attempt, Server_Stamp=f"{self.name}.1")


# Instances


def reserve_port(_kept=[]):  # noqa: B006
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _kept.append(sock)
    return sock.getsockname()[1]


SETTINGS = """\
node_name = "{name}"
role = "instance"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "svealand"
port_range = [{peer},{peer_end}]
seeds = []
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
svea-a = "svealand"
svea-b = "svealand"
svea-c = "svealand"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
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
revoke_ms = {revoke}
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
address = "127.0.0.1:{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 24
append_ms = 1.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 20
part_mb = 200
ttl_min_ms = 1000
"""


def command():
    """Return the program and its arguments from the deploy file."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.partition("=")[2].strip().strip('"').split(" ")
    raise RuntimeError("the deploy file names no program")


class Instance:
    def __init__(self, record, folder, name, store_port, zone="svea-a", bootstrap=True):
        self.record, self.name, self.zone = record, name, zone
        self.front, self.ready, self.peer = reserve_port(), reserve_port(), reserve_port()
        self.path, self.store_port, self.revoke = Path(folder) / f"{name}.toml", store_port, 5000
        self.log = Path(folder) / f"{name}.log"
        self.bootstrap, self.process = bootstrap, None
        self.write_settings()

    def write_settings(self):
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                peer=self.peer,
                peer_end=self.peer + 15,
                bootstrap="true" if self.bootstrap else "false",
                front=self.front,
                ready=self.ready,
                store=self.store_port,
                revoke=self.revoke,
            )
        )

    def start(self):
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env |= {"IBISPADDLE_CONFIG": str(self.path), "PYTHONPATH": str(ROOT / "target/deps")}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command(), cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.bootstrap = False
        self.record(f"instance {self.name} starts")

    def send_signal(self, number):
        self.record(f"instance {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            got = await call(self.ready, "GET", "/readyz", timeout_s=0.5)
        except (OSError, asyncio.TimeoutError):
            return False
        return got.status == 200

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# Consumers


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.is_complete = 0, {}, b"", False
        self.error, self.sent, self.ended = "", 0.0, 0.0


async def call(port, method, target, headers=None, body=b"", timeout_s=10.0, streams=None):
    """Send one request on a new connection, or on `streams`, and return what came back."""
    got = Answer()
    reader, writer = streams or await asyncio.wait_for(
        asyncio.open_connection("127.0.0.1", port, limit=1 << 20), 1.0
    )
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    got.sent = time.monotonic()

    async def exchange():
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        first, got.headers = await read_head(reader)
        got.status = int(first.split(" ")[1])
        if "chunked" in got.headers.get("transfer-encoding", ""):
            async for part in read_chunks(reader):
                got.body += part
        else:
            got.body = await reader.readexactly(int(got.headers.get("content-length", "0")))
        got.is_complete = True

    try:
        await asyncio.wait_for(exchange(), timeout_s)
    except asyncio.IncompleteReadError:
        got.error = "the connection ended without a complete answer"
    except ConnectionError as exc:
        got.error = f"the connection was reset: {exc}"
    except asyncio.TimeoutError:
        got.error = "no answer in time"
    got.ended = time.monotonic()
    if streams is None or not got.is_complete or got.headers.get("connection") == "close":
        writer.close()
    return got


# Configurations


ENGINE = {
    "slots": 8,
    "kv_capacity": 232000,
    "kv_token_bytes": 327680,
    "link_mbps": 400000.0,
    "stride": 43,
    "models": [{"name": "m"}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00452,
    "context_per_k": 0.00431,
    "read_per_s": 206000.0,
    "pairs_per_m": 0.138,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "loads_per_s": 0.0,
    "loads_at_once": 8,
    "delays": [],
    "usual": {"prompt": 12316, "answer": 1303},
    "hop_ms": 0.075,
}


def route(name, kind, service, **more):
    found = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind}
    found |= {"timeout_ms": 10000, "slo_ms": 300, "priority": 1, "service": service, "attempts": 2}
    return found | {"public": False, "sticky": False, "resumable": False} | more


def configuration(version, keys=None, idle_routes=0, service="butik"):
    stream = {"sticky": True, "resumable": True, "gap_aim_ms": 250}
    routes = [
        route("lohu930", "streaming", "ibis-lace", **stream),
        route("puxa403", "non_idempotent", service, timeout_ms=600, slo_ms=100, attempts=1),
        route("cufi504", "idempotent", service, timeout_ms=600, slo_ms=100),
    ]
    for number in range(idle_routes):
        routes.append(route(f"idle{number:04}", "idempotent", service, timeout_ms=600, slo_ms=100))
    plain = {"health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": False}
    engine = plain | {"max_conns": 264, "engine": ENGINE}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "ibis-lace", **engine}, {"name": "butik", **plain}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": list(found), "priority": 1}
            for name, found in (KEYS if keys is None else keys).items()
        ],
    }


# Deployments


class Deployment:
    """Some machines, runners and the store; everything ends with the context."""

    def __init__(self, record, machines=3, lace=2, butik=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.counts = machines, lace, butik
        self.runners, self.instances = [], []
        self.store = Store(record)
        self._tasks = []

    async def __aenter__(self):
        machines, lace, butik = self.counts
        zones = ("svea-a", "svea-b", "svea-c")
        for service, count in (("ibis-lace", lace), ("butik", butik)):
            for number in range(count):
                name = f"i-{service}-{number}"
                self.runners.append(Runner(self.record, name, service, zones[number % 3]))
                await self.runners[-1].start()
        self.store.put("keyed.op", "config", configuration(7))
        for runner in self.runners:
            self.store.put("keyed.servers", runner.name, runner.entry())
        for number in range(machines):
            zone = zones[number % 3]
            name = f"edge-{zone}-{number}"
            port = await self.store.open_gate(name)
            self.instances.append(Instance(self.record, self.folder, name, port, zone))
        return self

    async def start(self):
        """Start all machines and wait until they are ready."""
        for instance in self.instances:
            instance.start()
        for _ in range(200):
            if all([await instance.is_ready() for instance in self.instances]):
                self.record("all instances are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the instances did not become ready")

    def of(self, service):
        return [runner for runner in self.runners if runner.service == service]

    def background(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def __aexit__(self, *exc):
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.kill()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, file, limit_s=110.0):
    """Run a case and exit with its verdict."""
    record = Record(Path(file).resolve().parent)
    record("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")

    def end(status):
        record.file.close()
        sys.stdout.flush()
        os._exit(status)

    async def limited():
        # At the end, connections that are still open are cancelled.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        status = await asyncio.wait_for(case(record), limit_s)
        # All processes have ended. Tasks are not waited for: a consumer may miss its cancellation.
        end(status)

    try:
        asyncio.run(limited())
    except Exception as exc:  # noqa: BLE001
        end(record.verdict(NOT_RUN, f"{type(exc).__name__}: {exc}"))
