"""Listening sockets whose connections take little of a request before the upstream reads it."""

import socket

# As between machines: on loopback, the system would otherwise take a long request at once.
WINDOW_BYTES = 65_536
SEGMENT_BYTES = 1_448


def limit_window(listener: socket.socket) -> None:
    """Let the connections that the socket accepts hold few bytes that have not been read."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
