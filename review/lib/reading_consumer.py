"""A consumer that reads streams, each on a connection of its own, until it is stopped.

Prints a line when all requests are sent. It leaves at its time limit, counted in its own time.
"""

import argparse
import socket
import threading
import time

from deployment import STREAM_HEADERS, STREAM_PATH, request_bytes

LIMIT_MS = 10_000


def read_stream(address: tuple[str, int], attempt_id: str) -> None:
    with socket.create_connection(address) as sock:
        sock.sendall(
            request_bytes(
                "POST", f"{STREAM_PATH}x", attempt_id, LIMIT_MS, b"prompt", **STREAM_HEADERS
            )
        )
        ends_s = time.monotonic() + LIMIT_MS / 1000
        sock.settimeout(1.0)
        while time.monotonic() < ends_s:
            try:
                if not sock.recv(65_536):
                    return
            except OSError:
                continue


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--streams", type=int, required=True)
    args = parser.parse_args()
    host, _, port = args.address.rpartition(":")
    threads = [
        threading.Thread(target=read_stream, args=((host, int(port)), f"read-{number}"))
        for number in range(args.streams)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    print("sent", flush=True)
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
