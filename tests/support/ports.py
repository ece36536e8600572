"""Ports for processes that tests start, and for addresses at which nobody listens."""

import weakref

from ibispaddle_bench.processes import reserve_ports


def reserve_ports_for(owner: object, count: int) -> list[int]:
    """Reserve free ports of 127.0.0.1 until `owner` is garbage-collected, and return them.

    No other process on the machine gets such a port, not even while the process that listens at it
    is restarted.

    >>> front, ready = reserve_ports_for(instance, 2)  # doctest: +SKIP
    """
    sockets = reserve_ports(count)
    for sock in sockets:
        weakref.finalize(owner, sock.close)
    return [sock.getsockname()[1] for sock in sockets]
