"""In-process HTTP server for fakes that respond with JSON."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any


class Handler(BaseHTTPRequestHandler):
    """Pass each request to the fake; `fake.handle(request, body)` replies with `reply`."""

    protocol_version = "HTTP/1.1"
    fake: "JsonServer"

    def _handle(self) -> None:
        length = int(self.headers.get("Content-Length", 0))
        self.fake.handle(self, json.loads(self.rfile.read(length)) if length else None)

    do_GET = do_POST = _handle  # noqa: N815

    def reply(self, status: int, body: Any) -> None:
        """Send a response; a body that is not of type bytes is sent as JSON."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress request logging."""


class JsonServer:
    """Base class of fakes; listens on a port that the operating system chooses."""

    def __init__(self) -> None:
        handler = type("FakeHandler", (Handler,), {"fake": self})
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        self._server.daemon_threads = True
        self.url = f"http://127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, args=(0.01,), daemon=True).start()

    def handle(self, request: Handler, body: Any) -> None:
        """Answer one request."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()
