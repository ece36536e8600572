"""The first runner of a divided prompt goes dark; the memory at the others stays set aside."""

import asyncio
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from deployment import (  # noqa: E402
    ARCHIVE_PATH,
    BUTIK,
    LACE,
    CaseError,
    Consumer,
    Deployment,
    ReceivedRequest,
    Record,
    Runner,
    encode_response,
    run_case,
    with_trouble,
)

RUNNERS = 6
FREE_S = 4.0
DARK_AFTER_S = 0.5  # After the request has reached its first runner.
WORK_S = 1.0
HEADERS = {
    "Model": "m",
    "Token_Count": "400000,700",
    "Prefix_Hash": "5c1e07a2:40,91bd3f06:399960",
}


class TicketRunner(Runner):
    """A sound runner with memory that can be set aside, until it goes dark."""

    def __init__(self, name: str, service: str, record: Record) -> None:
        super().__init__(name, service, record)
        self.is_dark = False
        self.go_dark: Callable[[str], None] = lambda name: None  # Ends its heartbeats.
        self.held_until_s: dict[str, float] = {}  # The end of each ticket's lease, or its release.

    async def respond(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ) -> None:
        if self.is_dark:
            await asyncio.sleep(60)  # No answer, and the connection stays open.
        elif request.target == "/ibispaddle/order":
            writer.write(self._order(json.loads(request.body)))
        elif request.target.startswith(ARCHIVE_PATH) and "helpers" in request.headers:
            await self._run(request, writer)
        else:
            await super().respond(request, writer, reader)

    def _order(self, order: dict) -> bytes:
        now_s = time.monotonic()
        ticket = str(order["id"])
        if order["op"] == "reserve":
            self.held_until_s[ticket] = now_s + order["hold_ms"] / 1000
        elif ticket in self.held_until_s:
            self.held_until_s[ticket] = min(self.held_until_s[ticket], now_s)
        self.record.write("order", runner=self.name, op=order["op"], id=ticket)
        return encode_response(200, {}, b'{"free":100000}')

    async def _run(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        attempt_id = request.headers["attempt-id"]
        self.runs.append(attempt_id)
        self.record.write("run", runner=self.name, id=attempt_id, helpers=request.headers["helpers"])
        DIVIDED.append((self, request.headers["helpers"]))
        if with_trouble() and len(DIVIDED) == 1:
            await asyncio.sleep(DARK_AFTER_S)
            self.is_dark = True
            ENDS_S.append(time.monotonic())
            self.record.write("dark", runner=self.name)
            self.go_dark(self.name)
            await asyncio.sleep(60)
            return
        await asyncio.sleep(WORK_S)
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Stamp: {self.name}.1\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, 17):
            event = b"id: %d\ndata: %s\n\n" % (number, b"y" * 55)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.04)
        writer.write(b"0\r\n\r\n")
        ENDS_S.append(time.monotonic())
        self.record.write("ended", runner=self.name, id=attempt_id)


# The requests that several runners share, with their first runner, and the ends of their work.
DIVIDED: list[tuple[TicketRunner, str]] = []
ENDS_S: list[float] = []


async def case(deployment: Deployment) -> bool:
    record = deployment.record
    runners: list[Runner] = []
    for number in range(RUNNERS):
        runner = TicketRunner(f"lace-{number}", LACE, record)
        runner.go_dark = deployment.silence
        runners.append(runner)
    runners += [Runner(f"butik-{n}", BUTIK, record) for n in range(3)]
    await deployment.start(runners, instances=1)
    await asyncio.sleep(4)  # All machines are in touch.
    consumer = Consumer(record, deployment.instances[0].front)
    await consumer.send("POST", f"{ARCHIVE_PATH}x", "sift-1", 15_000, b"prompt" * 5_000, **HEADERS)
    consumer.close()
    await asyncio.sleep(4)
    if not DIVIDED or not ENDS_S:
        raise CaseError("no prompt was divided")
    first, helpers = DIVIDED[0]
    ended_s = ENDS_S[0]
    tickets = {item.partition("/")[2] for item in helpers.split(",")}
    kept_s = {
        (runner.name, ticket): until_s - ended_s
        for runner in runners
        if isinstance(runner, TicketRunner) and runner is not first
        for ticket, until_s in runner.held_until_s.items()
        if ticket in tickets
    }
    if not kept_s:
        raise CaseError("the other runners had no tickets")
    longest_s = max(kept_s.values())
    record.verdict(
        f"the memory at {len(kept_s)} other runners stayed set aside for up to {longest_s:.1f} s after"
        f" the end of the request that used it; allowed are {FREE_S:.0f} s"
    )
    return longest_s > FREE_S


if __name__ == "__main__":
    run_case(__file__, case)
