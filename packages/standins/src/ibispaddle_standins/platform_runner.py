"""A runner or plain service of the users' platform."""

import argparse
import asyncio
import json
import time
from typing import Any

from aiohttp import web

from .server import StandIn, abort_connection, main

EVENT_INTERVAL_S = 0.01


class PlatformRunner(StandIn):
    """Answer any request with a receipt; a request with `Token-Count` gets a stream of events."""

    name = "platform_runner"
    known_faults = (
        "shed",  # Answers 503 and states that nothing ran.
        "false_refusal",  # Answers 503 without that proof.
        "error",  # Runs the request and answers 500.
        "cut_after",  # Ends the connection after so many events.
        "lose_answer",  # Runs the request and ends the connection.
        "silent",  # Runs the request and answers nothing.
        "foreign",  # Answers under another id.
        "unsigned",  # Answers without a receipt.
        "refuse_memory",  # Grants no reservation.
        "second_answer",  # Sends the answer twice.
    )

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args)
        self._runs: list[dict[str, Any]] = []
        self._reserved: dict[str, int] = {}
        self._active_streams = 0

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the options of the stand-in."""
        parser.add_argument("--id", required=True)
        parser.add_argument("--events", type=int, default=5)
        parser.add_argument("--record", help="file that gets a line for each run, at once")

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers of the interface."""
        router.add_post("/ibispaddle/order", self._order)
        router.add_route("*", "/{path:.*}", self._run)

    def state(self) -> dict[str, Any]:
        """Return what ran, what is reserved and how many requests are in work."""
        return {"runs": self._runs, "reserved": self._reserved, "working": self._active_streams}

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        match order["op"]:
            case "reserve" if self.faults.get("refuse_memory"):
                return web.json_response({"free": 0}, status=409)
            case "reserve":
                self._reserved[order["id"]] = order["tokens"]
                return web.json_response({"free": 0})
            case "release":
                self._reserved.pop(order["id"], None)
                return web.json_response({})
        return web.Response(status=400)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        expected_instance = request.headers.get("Expect-Instance")
        attempt = {"Attempt-Id": request.headers.get("Attempt-Id", "")}
        if expected_instance not in (None, self.args.id):
            return web.Response(status=421, headers=attempt)
        if self.faults.consume("shed"):
            return web.Response(status=503, headers={**attempt, "Not-Executed": "1"})
        body = await request.read()
        headers = {name.lower(): value for name, value in request.headers.items()}
        run = {"path": request.path_qs, "method": request.method, "headers": headers}
        self._record(run | {"body": body.decode()})
        if self.faults.consume("lose_answer"):
            abort_connection(request)
        if self.faults.consume("silent"):
            await asyncio.sleep(60)
        if not self.faults.consume("unsigned"):
            attempt["Server-Stamp"] = self.args.id
        if self.faults.consume("foreign"):
            attempt["Attempt-Id"] = "another"
        if self.faults.consume("false_refusal"):
            return web.Response(status=503, headers=attempt)
        if self.faults.consume("error"):
            return web.Response(status=500, headers=attempt, text="failed")
        if "token-count" not in headers:
            if self.faults.consume("second_answer"):
                self._write_extra_response(request, attempt)
            return web.Response(headers=attempt, text=f"answer of {self.args.id}")
        return await self._stream(request, attempt, int(headers.get("last-event-id", "0")))

    def _record(self, run: dict[str, Any]) -> None:
        self._runs.append(run)
        if self.args.record:
            # The file outlives a runner that is killed.
            with open(self.args.record, "a") as file:
                file.write(json.dumps(run | {"at_s": time.monotonic()}) + "\n")

    def _write_extra_response(self, request: web.Request, headers: dict[str, str]) -> None:
        """Write a whole answer in front of the regular one."""
        body = f"answer of {self.args.id}"
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        first = f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(body)}\r\n\r\n{body}"
        if request.transport is not None:
            request.transport.write(first.encode())

    async def _stream(
        self, request: web.Request, headers: dict[str, str], last_event_id: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        cut_after = int(self.faults.get("cut_after", 0))
        self._active_streams += 1
        try:
            await response.prepare(request)
            for number in range(last_event_id + 1, self.args.events + 1):
                await response.write(b"id: %d\ndata: token %d\n\n" % (number, number))
                if cut_after and number - last_event_id >= cut_after:
                    self.faults.values["cut_after"] = None
                    abort_connection(request)
                await asyncio.sleep(EVENT_INTERVAL_S)
            await response.write_eof()
        except ConnectionResetError:
            pass  # The caller has left.
        finally:
            self._active_streams -= 1
        return response


if __name__ == "__main__":
    main(PlatformRunner)
