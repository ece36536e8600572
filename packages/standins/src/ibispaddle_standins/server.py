"""Base of all stand-ins: command line, HTTP server, fault injection and state."""

import argparse
import asyncio
import json
import os
import signal
import socket
import ssl
import sys
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from aiohttp import web

# A prompt of a million tokens is about 4 MB of text, and JSON escapes can multiply its size.
MAX_BODY_BYTES = 64 * 1024 * 1024

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults:
    """The faults that are currently injected.

    A fault with the value true stays active until it is set to false or null. A number is how often
    the fault occurs; each call of `consume` decrements it.
    """

    def __init__(self, known: Iterable[str], initial: dict[str, Any] | None = None) -> None:
        self.known = frozenset(known)
        self.values: dict[str, Any] = dict(initial or {})

    def update(self, changes: dict[str, Any]) -> None:
        """Set some faults; raise `ValueError` for names that the stand-in doesn't support."""
        unknown = sorted(set(changes) - self.known)
        if unknown:
            raise ValueError(f"unknown faults {unknown}; known: {sorted(self.known)}")
        self.values |= changes

    def get(self, name: str, default: Any = None) -> Any:
        """Return the value of a fault, or the default if it isn't set."""
        value = self.values.get(name)
        return default if value is None else value

    def consume(self, name: str) -> bool:
        """Return whether the fault occurs now, and decrement its counter if it has one."""
        value = self.values.get(name)
        if isinstance(value, int) and not isinstance(value, bool):
            self.values[name] = max(0, value - 1)
        return bool(value)


class StandIn:
    """Base class of the stand-ins."""

    name = ""
    known_faults: tuple[str, ...] = ()

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.faults = Faults(self.known_faults)

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the command-line options of the stand-in."""

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the stand-in's request handlers."""

    def state(self) -> dict[str, Any]:
        """Return the state that `GET /admin/state` responds with."""
        return {}

    async def start_background_tasks(self) -> None:
        """Start background tasks; called once the server is listening."""

    def apply_faults(self) -> None:
        """Apply faults that take effect outside of requests; called after each change."""

    async def intercept(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Handle a request whose path isn't below `/admin/`; subclasses apply their faults here."""
        return await handler(request)


def abort_connection(request: web.Request) -> None:
    """Close the request's connection without a response."""
    if request.transport is not None:
        request.transport.abort()


def build_app(stand_in: StandIn) -> web.Application:
    """Return the aiohttp application that serves the stand-in."""

    @web.middleware
    async def faults(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path.startswith("/admin/"):
            return await handler(request)
        return await stand_in.intercept(request, handler)

    async def change_faults(request: web.Request) -> web.Response:
        try:
            stand_in.faults.update(await request.json())
        except ValueError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        stand_in.apply_faults()
        return web.json_response(stand_in.faults.values)

    async def show_state(request: web.Request) -> web.Response:
        return web.json_response(stand_in.state() | {"faults": stand_in.faults.values})

    app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[faults])
    app.router.add_post("/admin/faults", change_faults)
    app.router.add_get("/admin/state", show_state)
    stand_in.add_routes(app.router)
    return app


async def serve(stand_in: StandIn) -> None:
    """Serve until SIGTERM or SIGINT, or with `--end-with-stdin` until standard input closes."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    if stand_in.args.end_with_stdin:
        loop.add_reader(sys.stdin.fileno(), _stop_at_eof, stop_requested)
    runner = web.AppRunner(
        build_app(stand_in), handler_cancellation=True, access_log=None, shutdown_timeout=0.5
    )
    await runner.setup()
    fd: int | None = stand_in.args.fd
    site: web.BaseSite
    if fd is not None:
        site = web.SockSite(runner, socket.socket(fileno=fd), backlog=1024)
    else:
        site = web.TCPSite(runner, "127.0.0.1", stand_in.args.port, backlog=1024)
    await site.start()
    tls_port = 0
    if stand_in.args.tls_certificate:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(stand_in.args.tls_certificate, stand_in.args.tls_key)
        await web.TCPSite(runner, "127.0.0.1", 0, ssl_context=context).start()
        tls_port = runner.addresses[1][1]
    await stand_in.start_background_tasks()
    port = runner.addresses[0][1]
    print(json.dumps({"port": port, "tls_port": tls_port, "pid": os.getpid()}), flush=True)
    await stop_requested.wait()
    await runner.cleanup()


def _stop_at_eof(stop_requested: asyncio.Event) -> None:
    if not os.read(sys.stdin.fileno(), 4096):
        stop_requested.set()


def main(stand_in_class: type[StandIn]) -> None:
    """Parse the command line and run the stand-in."""
    parser = argparse.ArgumentParser(prog=f"ibispaddle_standins.{stand_in_class.name}")
    parser.add_argument("--port", type=int, default=0, help="TCP port; 0: any free port")
    parser.add_argument("--fd", type=int, help="descriptor of a listening socket to serve on")
    parser.add_argument("--faults", type=json.loads, default={}, help="initial faults, as JSON")
    parser.add_argument(
        "--end-with-stdin",
        action="store_true",
        help="exit when standard input closes, so that the process doesn't outlive its parent",
    )
    parser.add_argument("--tls-certificate", help="certificate file; enables TLS on a second port")
    parser.add_argument("--tls-key", help="private key file of the certificate")
    stand_in_class.add_arguments(parser)
    stand_in = stand_in_class(parser.parse_args())
    stand_in.faults.update(stand_in.args.faults)
    asyncio.run(serve(stand_in))
