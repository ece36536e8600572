"""Small HTTP client for tests with real processes."""

import http.client
import json
import urllib.error
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass
class HttpResponse:
    """Response to one call."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """Return the body parsed as JSON."""
        return json.loads(self.body)


def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 20.0,
) -> HttpResponse:
    """Send one request; a body that is not of type bytes is sent as JSON."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        conn.request(method, path, data, headers or {})
        response = conn.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return HttpResponse(response.status, names, response.read())
    finally:
        conn.close()


class HttpProcess(Protocol):
    """A process with one HTTP port."""

    @property
    def url(self) -> str:
        """Return the base URL."""


def metric(process: HttpProcess, name: str) -> float:
    """Return the sum of a metric's values at an instance; 0 if it has none."""
    return _sum_of_metric(process.url, name)


def metric_at(port: int, name: str) -> float:
    """Return the sum of a metric's values at a port; 0 if it has none."""
    return _sum_of_metric(f"http://127.0.0.1:{port}", name)


def _sum_of_metric(url: str, name: str) -> float:
    with urllib.request.urlopen(f"{url}/metrics", timeout=10) as response:
        lines = response.read().decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.split("{")[0].split()[0] == name)


def is_ready(process: HttpProcess) -> bool:
    """Return whether an instance accepts requests."""
    try:
        with urllib.request.urlopen(f"{process.url}/readyz", timeout=2):
            return True
    except OSError:
        return False


def is_listening(process: HttpProcess) -> bool:
    """Return whether an instance responds at all, with any status."""
    try:
        urllib.request.urlopen(f"{process.url}/healthz", timeout=2).close()
    except urllib.error.HTTPError:
        return True
    except OSError:
        return False
    return True


class EventStream:
    """Read a streamed completion; usable as a context manager and iterator of JSON events."""

    def __init__(
        self,
        port: int,
        path: str,
        body: Any,
        headers: dict[str, str] | None = None,
        timeout_s: float = 20.0,
    ) -> None:
        self.conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
        self.conn.request("POST", path, json.dumps(body).encode(), headers or {})
        self.response = self.conn.getresponse()
        self.done = False

    def __enter__(self) -> "EventStream":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.conn.close()
        self.response.close()

    def __iter__(self) -> Iterator[Any]:
        for line in self.response:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                self.done = True
                return
            yield json.loads(data)

    def text(self) -> str:
        """Return the text of all remaining chunks."""
        parts = []
        for event in self:
            for choice in event["choices"]:
                parts.append(choice.get("text") or choice.get("delta", {}).get("content") or "")
        return "".join(parts)
