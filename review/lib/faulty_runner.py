"""A runner whose answers to requests are bytes without end, until the caller closes.

It is sound otherwise: it reports on itself, and refuses requests that expect another runner. Prints
its port, and then a line for each request that it began to answer.
"""

import argparse
import json
import socket
import threading
import time

# What comes after the head of a stream, once and then again and again.
BYTES = {
    # Empty lines.
    "lines": (b"", b"\n" * 65_536),
    # One line of an event without an end, then more bytes.
    "digits": (b"id: " + b"9" * 5_000 + b"\n\n", b"9" * 65_536),
    # Lines of text.
    "calls": (b"", b""),
    "text": (b"", (b"data: " + b"z" * 1_000 + b"\n\n") * 64),
}


def serve(sock: socket.socket, name: str, born: int, kind: str) -> None:
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(65_536)
        if not received:
            return
        data += received
    first, *lines = data.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {field.strip().lower(): value.strip() for field, _, value in fields}
    target = first.split()[1]
    if kind == "calls":
        print(f"call {target}", flush=True)
        send_endlessly(sock, b"HTTP/1.1 200 OK\r\n\r\n", b"z" * 65_536)
        return
    if target == "/ibispaddle/report":
        body = json.dumps({"stage": "mixed", "busy": False, "seq": 0, "born": born}).encode()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        return
    if target == "/healthz":
        head = f"HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
        sock.sendall(head.encode())
        return
    if headers.get("expect-instance", name) != name:
        sock.sendall(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
        return
    attempt_id = headers.get("attempt-id", "")
    print(f"run {attempt_id}", flush=True)
    head = (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Stamp: {name}.1\r\n"
        "Content-Type: text/event-stream\r\n\r\n"
    )
    once, again = BYTES[kind]
    send_endlessly(sock, head.encode() + once, again)


def send_endlessly(sock: socket.socket, once: bytes, again: bytes) -> None:
    sock.sendall(once)
    ends_s = time.monotonic() + 30
    while time.monotonic() < ends_s:
        sock.sendall(again)


def run(sock: socket.socket, *arguments) -> None:
    try:
        with sock:
            serve(sock, *arguments)
    except OSError:
        pass  # The caller has closed the connection.


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--born", type=int, required=True)
    parser.add_argument("--bytes", choices=BYTES, required=True)
    args = parser.parse_args()
    server = socket.create_server(("127.0.0.1", 0), backlog=256)
    print(server.getsockname()[1], flush=True)
    while True:
        sock, _ = server.accept()
        threading.Thread(
            target=run, args=(sock, args.id, args.born, args.bytes), daemon=True
        ).start()


if __name__ == "__main__":
    main()
