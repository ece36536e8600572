"""Command line of an instance that reaches upstreams through links of its own.

Upstreams are listed at `SHARED_IP`, at their ports. The instance connects to the same port of the address
in the environment variable `OWN_IP_VARIABLE` instead, where a test listens (`upstream_links`).
"""

import os
import socket
import sys
from collections.abc import Callable
from typing import Any

SHARED_IP = "127.1.0.1"
OWN_IP_VARIABLE = "IBISPADDLE_TEST_UPSTREAM_IP"


def _redirected(connect: Callable[..., Any], own_ip: str) -> Callable[..., Any]:
    """Return a socket's method that connects to the own address in place of the shared one."""

    def connect_to_link(sock: socket.socket, address: Any) -> Any:
        if isinstance(address, tuple) and address[0] == SHARED_IP:
            address = (own_ip, *address[1:])
        return connect(sock, address)

    return connect_to_link


def main() -> int:
    """Run the instance and return its exit status."""
    own_ip = os.environ[OWN_IP_VARIABLE]
    for name in ("connect", "connect_ex"):
        setattr(socket.socket, name, _redirected(getattr(socket.socket, name), own_ip))
    from ibispaddle_platform.__main__ import main as run_instance

    return run_instance()


if __name__ == "__main__":
    sys.exit(main())
