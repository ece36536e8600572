"""TCP proxies on loopback that can delay, reset, discard or answer the traffic of connections."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

READ_BYTES = 65_536
DELAY_S = 0.15
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_UNAVAILABLE_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class LinkMode(StrEnum):
    """How a link treats the traffic that it forwards."""

    OPEN = "open"
    DELAY = "delay"  # Data is delayed in both directions.
    RESET = "reset"  # Open and new connections are reset.
    SILENT = "silent"  # Data is discarded in both directions.
    ONE_WAY = "one_way"  # Data from the target is discarded.
    UNAVAILABLE = "unavailable"  # HTTP requests are answered with 503.


class Link:
    """A proxy that forwards connections to a target according to its mode.

    A connection whose data was discarded forwards no more data in that direction, even if the link
    is open again.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = LinkMode.OPEN
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the IP:PORT on which the link listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def open(self) -> "Link":
        """Start listening."""
        self._server = await asyncio.start_server(self._forward_connection, "127.0.0.1", 0)
        return self

    def close(self) -> None:
        """Stop listening and reset all connections."""
        assert self._server is not None
        self._server.close()
        self._reset_all()

    def set_mode(self, mode: LinkMode) -> None:
        """Change the mode, also for open connections."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        host, port = self.target.split(":")
        try:
            if self.mode is LinkMode.RESET:
                raise ConnectionError
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        discarding_modes = (LinkMode.SILENT,), (LinkMode.SILENT, LinkMode.ONE_WAY)
        try:
            # At the end of the run the tasks of open connections are cancelled.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self._forward_bytes(reader, target_writer, discarding_modes[0], writer),
                    self._forward_bytes(target_reader, writer, discarding_modes[1]),
                )
        finally:
            for end in (writer, target_writer):
                self._writers.discard(end)
                end.close()

    async def _forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        discarding_modes: tuple[LinkMode, ...],
        source_writer: asyncio.StreamWriter | None = None,
    ) -> None:
        """Forward data in one direction; `source_writer` sends responses of the link itself."""
        is_discarding = False
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                if self.mode is LinkMode.UNAVAILABLE and source_writer is not None:
                    source_writer.write(_UNAVAILABLE_RESPONSE)
                    break
                is_discarding = is_discarding or self.mode in discarding_modes
                if not is_discarding:
                    writer.write(data)
                    await writer.drain()
            if not is_discarding and writer.can_write_eof():
                writer.write_eof()
            return
        _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
