"""Helpers that send and receive raw HTTP on a socket."""

import json
import socket

from .processes import KEY

AUTH = f"Authorization: Bearer {KEY}\r\n"
PROMPT = "x"


def connect(address: str, timeout_s: float = 10) -> socket.socket:
    """Connect to IP:PORT and return the socket."""
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=timeout_s)


def post(path: str, body: bytes, headers: str = AUTH) -> bytes:
    """Return the bytes of a request."""
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def chat_body(**fields) -> bytes:
    """Return the body of a chat request."""
    document = {"model": "m", "messages": [{"role": "user", "content": PROMPT}], "max_tokens": 4}
    return json.dumps(document | fields).encode()


def read_response(sock: socket.socket) -> tuple[int, dict[str, str], bytes]:
    """Return the next response with a Content-Length."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(1)
        if not piece:
            raise AssertionError(f"the connection was closed after {data!r}")
        data += piece
    head, _, _ = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    body = b""
    while len(body) < int(headers["content-length"]):
        body += sock.recv(int(headers["content-length"]) - len(body))
    return int(lines[0].split()[1]), headers, body


def read_all(sock: socket.socket) -> bytes:
    """Return all bytes up to the end of the stream."""
    parts = []
    while piece := sock.recv(65_536):
        parts.append(piece)
    return b"".join(parts)
