"""Proxies between each instance and each upstream, which cut instances from all upstreams."""

import asyncio
import contextlib
import re
import socket
import struct
import threading
from collections import defaultdict
from collections.abc import Iterable
from enum import StrEnum

from .linked_instance import SHARED_IP

READ_BYTES = 65_536
BACKLOG = 128
# Connections that fill the queue of a listener whose backlog is 0, so that the kernel answers no others.
FILLERS = 2
START_TIMEOUT_S = 10.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_ATTEMPT_ID = re.compile(rb"\r\nattempt-id: *([^\r]+)\r\n", re.IGNORECASE)


class CutMode(StrEnum):
    """How a link treats connections."""

    OPEN = "open"
    # Nothing passes on open connections, and new ones are not established. What has been sent passes when
    # the link is open again, unless its sender has reset the connection.
    HANG = "hang"
    RESET = "reset"  # Open and new connections are reset.
    REFUSE_NEW = "refuse_new"  # Open connections live on, new ones are refused.


class UpstreamLink:
    """The connections of one instance to one upstream."""

    def __init__(self, own_ip: str, address: str) -> None:
        host, port = address.split(":")
        self._target = (host, int(port))
        self._listen_address = (own_ip, int(port))
        self._mode = CutMode.OPEN
        self._gate = asyncio.Event()
        self._fillers: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.attempt_ids: list[str] = []  # Of the requests that have passed.

    async def open(self) -> "UpstreamLink":
        """Start listening."""
        self._listen()
        self._gate.set()
        return self

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        await self._stop_accepting()
        self._listener.close()
        self._reset_all()
        self._drop_fillers()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def set_mode(self, mode: CutMode) -> None:
        """Change the mode, also for open connections."""
        if self._mode is CutMode.HANG:
            self._drop_fillers()
        self._mode = mode
        if mode is CutMode.HANG:
            self._gate.clear()
            await self._stop_accepting()
            self._listener.listen(0)
            self._fill_backlog()
            return
        self._gate.set()
        await self._stop_accepting()
        self._listener.close()
        if mode is CutMode.RESET:
            self._reset_all()
        if mode is not CutMode.REFUSE_NEW:
            self._listen()

    def _listen(self) -> None:
        self._listener = socket.create_server(self._listen_address, backlog=BACKLOG)
        self._listener.setblocking(False)
        self._accepting = asyncio.create_task(self._accept(self._listener))

    async def _stop_accepting(self) -> None:
        """Stop accepting; only then may the listener be closed, because the event loop still polls it."""
        self._accepting.cancel()
        await asyncio.gather(self._accepting, return_exceptions=True)

    def _fill_backlog(self) -> None:
        for _ in range(FILLERS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self._listen_address)
            self._fillers.append(sock)

    def _drop_fillers(self) -> None:
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listener)
            task = asyncio.create_task(self._forward_connection(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward_connection(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        self._writers.add(writer)
        try:
            if self._mode is CutMode.RESET:
                raise ConnectionResetError
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        try:
            await asyncio.gather(
                self._forward_bytes(reader, target_writer, True),
                self._forward_bytes(target_reader, writer, False),
            )
        finally:
            for end in (writer, target_writer):
                self._writers.discard(end)
                end.close()

    async def _forward_bytes(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, are_requests: bool
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._gate.wait()
                if (exc := reader.exception()) is not None:
                    raise exc
                if are_requests:
                    self.attempt_ids += (found.decode() for found in _ATTEMPT_ID.findall(data))
                writer.write(data)
                await writer.drain()
            await self._gate.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            await self._gate.wait()
            _reset(writer)


class UpstreamLinks:
    """Opens the links of a number of instances and cuts instances; the links run in a thread."""

    def __init__(self, instances: int) -> None:
        self._links: dict[int, list[UpstreamLink]] = {n: [] for n in range(instances)}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    @staticmethod
    def own_ip(number: int) -> str:
        """Return the address to which an instance connects in place of `SHARED_IP`.

        >>> UpstreamLinks.own_ip(0)
        '127.1.0.2'
        """
        return f"127.1.0.{number + 2}"

    def open(self, address: str) -> str:
        """Open a link of each instance to an upstream; return the address to list the upstream at."""

        async def open_links() -> None:
            for number, links in self._links.items():
                links.append(await UpstreamLink(self.own_ip(number), address).open())

        asyncio.run_coroutine_threadsafe(open_links(), self._loop).result(START_TIMEOUT_S)
        return f"{SHARED_IP}:{address.split(':')[1]}"

    def set_mode(self, mode: CutMode, numbers: Iterable[int]) -> None:
        """Change the mode of all links of some instances."""
        chosen = [link for number in numbers for link in self._links[number]]

        async def set_modes() -> None:
            for link in chosen:
                await link.set_mode(mode)

        asyncio.run_coroutine_threadsafe(set_modes(), self._loop).result(START_TIMEOUT_S)

    def senders(self) -> dict[str, set[int]]:
        """Return the instances that sent each request to upstreams, by attempt id."""
        found: dict[str, set[int]] = defaultdict(set)
        for number, links in self._links.items():
            for link in links:
                for attempt_id in list(link.attempt_ids):
                    found[attempt_id].add(number)
        return found

    def close(self) -> None:
        """Close all links and end the thread."""

        async def close_links() -> None:
            for links in self._links.values():
                for link in links:
                    await link.close()
            await asyncio.sleep(0)

        closing = asyncio.run_coroutine_threadsafe(close_links(), self._loop)
        with contextlib.suppress(
            TimeoutError
        ):  # The test has ended; its processes end in any case.
            closing.result(START_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
