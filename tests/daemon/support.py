"""Helpers of the daemon's tests: a raw upstream and a recorder of events."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

WAIT_S = 10.0


def wait_until(condition: Callable[[], object], text: str = "condition") -> None:
    """Return when the condition holds; fail after ten seconds."""
    limit = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > limit:
            raise AssertionError(f"{text} did not hold within {WAIT_S} s")
        time.sleep(0.002)


class RawUpstream:
    """Accept connections and let a test script the bytes of each."""

    def __init__(self, script: Callable[[socket.socket, int], None]) -> None:
        self._sock = socket.create_server(("127.0.0.1", 0))
        self._script = script
        self._open: list[socket.socket] = []
        self.connections = 0
        self.address = "{}:{}".format(*self._sock.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            number = self.connections
            self.connections += 1
            self._open.append(conn)
            threading.Thread(target=self._serve, args=(conn, number), daemon=True).start()

    def _serve(self, conn: socket.socket, number: int) -> None:
        try:
            self._script(conn, number)
        except OSError:
            pass
        finally:
            conn.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        for sock in (self._sock, *self._open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def read_request(conn: socket.socket) -> tuple[bytes, bytes]:
    """Return the head and the body of one request; both are empty at the connection's end."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = conn.recv(65_536)
        if not piece:
            return b"", b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += conn.recv(65_536)
    return head, body


class Recorder(BaseComponent):
    """Keep all events of the channel `test`."""

    channel = "test"

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[tuple] = []

    @handler("call_completed", "call_sent", "call_head", "call_data", "call_ended", channel="test")
    def _on_any(self, event, *args):
        self.seen.append((event.name, *args))

    def of(self, call_id: str) -> list[tuple]:
        """Return the events of one call without its id."""
        return [(name, *rest) for name, found, *rest in list(self.seen) if found == call_id]


class Root(BaseComponent):
    """Run components in a thread of its own."""

    channel = "root"

    def __init__(self, *components: BaseComponent) -> None:
        super().__init__()
        EPoll().register(self)
        for component in components:
            component.register(self)

    def __enter__(self) -> "Root":
        thread, _ = self.start()
        self.thread = thread
        wait_until(lambda: self.running, "start")
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()
        self.thread.join(WAIT_S)
