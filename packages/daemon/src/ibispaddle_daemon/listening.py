"""Sockets that listen before the rest of a process is loaded.

This module imports only the standard library, so that it can be used first in a process.
"""

import errno
import socket
from collections.abc import Iterable, Sequence

# Maximum number of queued connections while the process starts; the system may apply a lower limit.
BACKLOG = 4_096

Listeners = tuple[socket.socket, ...]


def open_listeners(addresses: Iterable[str]) -> Listeners:
    """Return a listening socket for each IP:PORT.

    From now on the system accepts connections and buffers what callers send. Raise `OSError` or
    `ValueError` if an address cannot be used; all sockets are closed in that case.

    >>> (sock,) = open_listeners(["127.0.0.1:0"])
    >>> sock.getsockname()[0]
    '127.0.0.1'
    >>> sock.close()
    """
    listeners: Listeners = ()
    try:
        for address in addresses:
            listeners += (_open(address),)
    except (OSError, ValueError):
        for sock in listeners:
            sock.close()
        raise
    return listeners


def open_first_free(addresses: Sequence[str]) -> socket.socket:
    """Return a socket that listens on the first IP:PORT that is not in use.

    An outgoing connection of any process may hold a port, also for a minute after its end. Raise `OSError`
    if all are in use, or `ValueError` if one is invalid.

    >>> taken = open_first_free(["127.0.0.1:0"])
    >>> address = "127.0.0.1:%d" % taken.getsockname()[1]
    >>> sock = open_first_free([address, "127.0.0.1:0"])
    >>> sock.getsockname() == taken.getsockname()
    False
    >>> sock.close(), taken.close()
    (None, None)
    """
    for address in addresses:
        try:
            return _open(address)
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, f"all of these are in use: {', '.join(addresses)}")


def _open(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    number = int(port)
    if not 0 <= number < 65_536:
        raise ValueError(f"the port of '{address}' is not in the range 0 to 65535")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        sock.bind((host, number))
        sock.listen(BACKLOG)
    except OSError as exc:
        sock.close()
        raise OSError(exc.errno, f"cannot listen on {address}: {exc.strerror}") from exc
    return sock
