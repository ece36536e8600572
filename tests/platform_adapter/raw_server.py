"""Base of servers that write bytes of a test's choice."""

import socket
import threading


class RawServer:
    """Calls `serve` in a thread for each connection."""

    def __init__(self) -> None:
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self.name = ""
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Handle a connection; subclasses implement it."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening."""
        self._server.close()
