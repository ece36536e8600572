"""TCP links on loopback that can be delayed, reset, cut one way or silenced."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

READ_BYTES = 65_536
DELAY_S = 0.15
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkMode(StrEnum):
    """Name what a link does to the bytes that it carries."""

    OPEN = "open"
    DELAY = "delay"  # Bytes of both directions arrive late.
    RESET = "reset"  # Open and new connections are reset.
    SILENT = "silent"  # Bytes of both directions are lost.
    ONE_WAY = "one_way"  # Bytes towards the target arrive, its answers are lost.


class Link:
    """Forward connections to a target, as the mode says.

    A connection whose bytes were lost stays silent when the link is open again.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = LinkMode.OPEN
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return IP:PORT of the link's entry."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def open(self) -> "Link":
        """Begin to listen."""
        self._server = await asyncio.start_server(self._forward_connection, "127.0.0.1", 0)
        return self

    def close(self) -> None:
        """Stop to listen and reset all connections."""
        assert self._server is not None
        self._server.close()
        self._reset_all()

    def set_mode(self, mode: LinkMode) -> None:
        """Change what happens to the bytes from now on."""
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
            # The end of the run cancels what is still open.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self._forward_bytes(reader, target_writer, discarding_modes[0]),
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
    ) -> None:
        is_discarding = False
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(DELAY_S)
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
