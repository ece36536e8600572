"""TCP links on loopback that can be delayed, reset, cut one way or silenced."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

READ_BYTES = 65_536
DELAY_S = 0.15
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(StrEnum):
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
        self.mode = Mode.OPEN
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
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        return self

    def close(self) -> None:
        """Stop to listen and reset all connections."""
        assert self._server is not None
        self._server.close()
        self._reset_all()

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to the bytes from now on."""
        self.mode = mode
        if mode is Mode.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        host, port = self.target.split(":")
        try:
            if self.mode is Mode.RESET:
                raise ConnectionError
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        lost = (Mode.SILENT,), (Mode.SILENT, Mode.ONE_WAY)
        try:
            # The end of the run cancels what is still open.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self._pump(reader, far_writer, lost[0]), self._pump(far_reader, writer, lost[1])
                )
        finally:
            for end in (writer, far_writer):
                self._writers.discard(end)
                end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lost: tuple[Mode, ...]
    ) -> None:
        is_silenced = False
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                is_silenced = is_silenced or self.mode in lost
                if not is_silenced:
                    writer.write(data)
                    await writer.drain()
            if not is_silenced and writer.can_write_eof():
                writer.write_eof()
            return
        _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
