"""Stand-in for a runner or plain service that speaks the protocol of the users' platform."""

import argparse
import asyncio
import json
import os
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from .server import StandIn, abort_connection, main

EVENT_INTERVAL_S = 0.01


@dataclass(frozen=True)
class StreamPlan:
    """The events of a stream, their interval and a pause after a number of events of each run.

    A caller may set it with the header `Test-Plan`, in this order, separated by commas.
    """

    events: int
    interval_s: float = EVENT_INTERVAL_S
    pause_after: int = 1
    pause_s: float = 0.0

    @classmethod
    def from_header(cls, value: str | None, events: int) -> "StreamPlan":
        """Return the plan in a header, or the default one with a number of events."""
        if value is None:
            return cls(events)
        number, interval_s, pause_after, pause_s = value.split(",")
        return cls(int(number), float(interval_s), int(pause_after), float(pause_s))


class PlatformRunner(StandIn):
    """Respond to any request with a `Server-Stamp` header, which proves that this runner ran it.

    A request with a `Token-Count` header gets a stream of server-sent events.
    """

    name = "platform_runner"
    known_faults = (
        "shed",  # Responds 503 with `Not-Executed` and doesn't run the request.
        "retry_after",  # `Retry-After` of these responses, in seconds.
        "false_refusal",  # Runs the request and responds 503 without `Not-Executed`.
        "error",  # Runs the request and responds 500.
        "cut_after",  # Aborts the connection after this number of events.
        "pause_s",  # Sends nothing for this time after the first event of a stream, then goes on.
        "lose_answer",  # Runs the request and aborts the connection.
        "delay_s",  # Runs the request and responds after this time.
        "silent",  # Runs the request and doesn't respond for a minute.
        "foreign",  # Responds with the `Attempt-Id` of another request.
        "unsigned",  # Responds without `Server-Stamp`.
        "refuse_memory",  # Refuses reservations with 409.
        "second_answer",  # Sends the response twice.
        "deadly_part",  # The process exits when it begins to respond to a prompt with this part.
        "limit",  # Names this number of requests a second as its limit in all responses.
        "leaving",  # States in all responses that it is about to end.
        "deadly_body",  # The process exits when it begins to run a request with this text.
    )

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args)
        self._runs: list[dict[str, Any]] = []
        self._reserved: dict[str, int] = {}
        self._active_streams = 0
        self._arrivals: Counter[str] = Counter()  # By attempt id.
        self._arrival_times_s: list[float] = []
        self._started_ms = args.born or time.time_ns() // 1_000_000

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Add the command-line options of the stand-in."""
        parser.add_argument("--id", required=True)
        parser.add_argument("--born", type=int, help="start in Unix ms; default: now")
        parser.add_argument("--events", type=int, default=5)
        parser.add_argument("--record", help="file to which each run is appended as a JSON line")

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers of the interface."""
        router.add_post("/ibispaddle/order", self._order)
        router.add_get("/ibispaddle/report", self._report)
        router.add_route("*", "/{path:.*}", self._run)

    def state(self) -> dict[str, Any]:
        """Return the runs, arrivals, reservations and the number of streams in progress."""
        return {
            "runs": self._runs,
            "arrivals": self._arrivals,
            "arrival_times_s": self._arrival_times_s,
            "reserved": self._reserved,
            "working": self._active_streams,
        }

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response({"stage": "mixed", "born": self._started_ms})

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
        self._arrivals[attempt["Attempt-Id"]] += 1
        self._arrival_times_s.append(time.monotonic())
        if self.faults.get("leaving"):
            attempt["Server-Leaving"] = "1"
        if self.faults.get("limit") is not None:
            attempt["Server-Limit"] = str(self.faults.get("limit"))
        if self.faults.consume("shed"):
            if self.faults.get("retry_after") is not None:
                attempt["Retry-After"] = str(self.faults.get("retry_after"))
            return web.Response(status=503, headers={**attempt, "Not-Executed": "1"})
        body = await request.read()
        headers = {name.lower(): value for name, value in request.headers.items()}
        run = {"path": request.path_qs, "method": request.method, "headers": headers}
        self._record(run | {"body": body.decode()})
        deadly = self.faults.get("deadly_body")
        if deadly is not None and deadly.encode() in body:
            os._exit(1)
        if self.faults.consume("lose_answer"):
            abort_connection(request)
        if self.faults.get("delay_s"):
            await asyncio.sleep(self.faults.get("delay_s"))
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

    def _is_deadly(self, request: web.Request) -> bool:
        parts = request.headers.get("Prefix-Hash", "").split(",")
        return self.faults.get("deadly_part") in {part.partition(":")[0] for part in parts}

    def _record(self, run: dict[str, Any]) -> None:
        self._runs.append(run)
        if self.args.record:
            # Written at once, because the record must survive if the runner is killed.
            with open(self.args.record, "a") as file:
                file.write(json.dumps(run | {"at_s": time.monotonic()}) + "\n")

    def _write_extra_response(self, request: web.Request, headers: dict[str, str]) -> None:
        """Write a complete response before the regular one."""
        body = f"answer of {self.args.id}"
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        first = f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(body)}\r\n\r\n{body}"
        if request.transport is not None:
            request.transport.write(first.encode())

    async def _stream(
        self, request: web.Request, headers: dict[str, str], last_event_id: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        plan = StreamPlan.from_header(request.headers.get("Test-Plan"), self.args.events)
        cut_after = int(self.faults.get("cut_after", 0))
        self._active_streams += 1
        try:
            await response.prepare(request)
            if self._is_deadly(request):
                os._exit(1)
            for number in range(last_event_id + 1, plan.events + 1):
                await response.write(b"id: %d\ndata: token %d\n\n" % (number, number))
                if cut_after and number - last_event_id >= cut_after:
                    self.faults.values["cut_after"] = None
                    abort_connection(request)
                is_pause = number - last_event_id == plan.pause_after
                pause_s = self.faults.get("pause_s") or plan.pause_s
                await asyncio.sleep(pause_s if is_pause and pause_s else plan.interval_s)
            await response.write_eof()
        except ConnectionResetError:
            pass  # The client disconnected.
        finally:
            self._active_streams -= 1
        return response


if __name__ == "__main__":
    main(PlatformRunner)
