"""In-process upstreams whose response bytes are scripted by a test."""

import contextlib
import socket
import threading
from collections.abc import Callable

# More than any test opens at once: the kernel drops what exceeds it, and the client repeats it after a second.
MAX_PENDING_CONNECTIONS = 512


class RawUpstream:
    """Accept connections and run a script of the test for each of them.

    The script receives the connection and its number, which starts at 0. With `listener`, its connections
    are accepted instead of those of a new socket.
    """

    def __init__(
        self,
        script: Callable[[socket.socket, int], None],
        listener: socket.socket | None = None,
    ) -> None:
        self._sock = listener or socket.create_server(
            ("127.0.0.1", 0), backlog=MAX_PENDING_CONNECTIONS
        )
        self._script = script
        self._open: list[socket.socket] = []
        self.connections = 0
        self.address = "{}:{}".format(*self._sock.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._sock.accept()
                number = self.connections
                self.connections += 1
                self._open.append(conn)
                threading.Thread(target=self._serve, args=(conn, number), daemon=True).start()

    def _serve(self, conn: socket.socket, number: int) -> None:
        with contextlib.suppress(OSError), conn:
            self._script(conn, number)

    def close(self, keep: socket.socket | None = None) -> None:
        """Stop listening and close all connections but one."""
        for sock in (self._sock, *self._open):
            if sock is keep:
                continue
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def read_request(conn: socket.socket) -> tuple[bytes, bytes]:
    """Return the head and body of one request; both are empty if the connection was closed."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = conn.recv(65_536)
        if not chunk:
            return b"", b""
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += conn.recv(65_536)
    return head, body
