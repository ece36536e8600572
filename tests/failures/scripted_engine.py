"""An engine inside the test process whose raw responses are written by a test's script.

It simulates behaviour that a correct engine doesn't have, and counts the prompts that it ran.
"""

import json
import re
import socket
import struct
import time
from collections.abc import Callable

from ibispaddle_bench.fleet import MODEL, Fleet
from ibispaddle_bench.processes import call_json

from tests.support.entries import runner_entry
from tests.support.upstreams import RawUpstream

Script = Callable[["ScriptedEngine", socket.socket, str, str, bytes], bool]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: close() sends RST.


def reset_connection(conn: socket.socket) -> bool:
    """Close the connection with a TCP reset."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    conn.close()
    return False


def respond(conn: socket.socket, status: int, body: bytes, headers: str = "") -> bool:
    """Write a complete response and keep the connection open."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    conn.sendall(head.encode() + body)
    return True


def error_body(code: str) -> bytes:
    """Return an error body in the format of the chat-completions protocol."""
    return json.dumps({"error": {"message": "scripted", "code": code}}).encode()


def stream_head(boot_id: str, request_id: str) -> bytes:
    """Return the head of an event stream that ends when its connection closes."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
        f"X-Engine-Boot: {boot_id}\r\nX-Request-Id: {request_id}\r\n\r\n"
    ).encode()


def chunk(completion_id: str, index: int, text: str, reason: str | None = None) -> bytes:
    """Return the server-sent event for one token."""
    choice = {
        "index": 0,
        "token_index": index,
        "delta": {"content": text},
        "finish_reason": reason,
    }
    return b"data: " + json.dumps({"id": completion_id, "choices": [choice]}).encode() + b"\n\n"


class ScriptedEngine(RawUpstream):
    """An engine that responds to probes like an idle one and passes other requests to a script.

    The script is called with the engine, the connection, the path, the request id and the body, and
    returns whether the connection can be reused.
    """

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.requests: list[str] = []  # Paths in the order of arrival.
        self.runs = 0
        self._sequence = 0
        super().__init__(self._serve_connection)

    def _serve_connection(self, conn: socket.socket, number: int) -> None:
        reader = conn.makefile("rb")
        while self._serve_request(conn, reader):
            pass
        reader.close()

    def _serve_request(self, conn: socket.socket, reader) -> bool:
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            line = reader.readline()
            if not line:
                return False
            head += line
        path = head.split(b" ", 2)[1].decode()
        headers = dict(re.findall(r"(?m)^([^:\s]+): ([^\r\n]*)", head.decode("latin-1")))
        headers = {name.lower(): value for name, value in headers.items()}
        body = reader.read(int(headers.get("content-length", 0)))
        if path == "/load":
            return respond(conn, 200, json.dumps(self._load_report()).encode())
        if path == "/kv":
            return respond(conn, 200, b'{"handles": {}}')
        self.requests.append(path)
        return self.script(self, conn, path, headers.get("x-request-id", ""), body)

    def _load_report(self) -> dict:
        self._sequence += 1
        return {
            "boot_id": "scripted",
            "seq": self._sequence,
            "time_ms": int(time.time() * 1000),
            "running": 0,
            "waiting": 0,
            "queued_prefill_tokens": 0,
            "kv_tokens_used": 0,
            "kv_tokens_total": 400_000,
            "prefill_tokens_per_s": 25_000.0,
            "decode_tokens_per_s": 60.0,
            "models": [MODEL],
            "role": "mixed",
            "state": "live",
        }


def publish_scripted_engines(fleet: Fleet, *engines: ScriptedEngine) -> None:
    """Publish the fleet's instance list with scripted engines added."""
    entries = fleet.listed_entries()
    entries += [runner_entry(e.name, e.address, "live", MODEL, "dc.1") for e in engines]
    call_json(f"{fleet.instance_list.url}/admin/entries", {"entries": entries}, method="PUT")
