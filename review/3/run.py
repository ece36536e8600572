"""One of six runners answers with empty lines without end; requests to others get no answer."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from deployment import (  # noqa: E402
    BUTIK,
    HOLD_PATH,
    LACE,
    LOOKUP_PATH,
    STREAM_HEADERS,
    STREAM_PATH,
    Answer,
    Consumer,
    Deployment,
    Runner,
    run_case,
    with_trouble,
)

DURATION_S = 20.0
TIMEOUT_S, SLACK_S = 0.6, 0.5


async def case(deployment: Deployment) -> bool:
    record = deployment.record
    runners = [Runner(f"lace-{n}", LACE, record) for n in range(5 if with_trouble() else 6)]
    runners += [Runner(f"butik-{n}", BUTIK, record) for n in range(3)]
    await deployment.start(runners, instances=2)
    if with_trouble():
        await deployment.add_faulty_runner("lace-5", "lines")
    await asyncio.sleep(4)  # All machines are in touch.
    calls: list[Answer] = []
    ends_s = time.monotonic() + DURATION_S

    async def call(number: int) -> None:
        """Call a plain service once a second, on a kept connection."""
        instance = deployment.instances[number % 2]
        consumer = Consumer(record, instance.front)
        path, method = ((HOLD_PATH, "POST"), (LOOKUP_PATH, "GET"))[number // 2 % 2]
        sent = 0
        while time.monotonic() < ends_s:
            sent += 1
            calls.append(
                await consumer.send(method, f"{path}x", f"call-{number}-{sent}", 3_000)
            )
            await asyncio.sleep(1.0)
        consumer.close()

    async def stream(number: int) -> None:
        """Read a stream every two seconds, each on a new connection."""
        instance = deployment.instances[number % 2]
        sent = 0
        while time.monotonic() < ends_s:
            sent += 1
            consumer = Consumer(record, instance.front)
            attempt_id = f"stream-{number}-{sent}"
            await consumer.send(
                "POST", f"{STREAM_PATH}x", attempt_id, 10_000, b"prompt", **STREAM_HEADERS
            )
            consumer.close()
            await asyncio.sleep(2.0)

    await asyncio.gather(*(call(n) for n in range(8)), *(stream(n) for n in range(8)))
    late = [answer for answer in calls if answer.duration_s > TIMEOUT_S]
    without = [answer for answer in late if answer.duration_s > TIMEOUT_S + SLACK_S]
    record.verdict(
        f"{len(calls)} calls to sound runners; {len(late)} unanswered at the timeout of 600 ms,"
        f" {len(without)} of these 500 ms later"
    )
    return len(without) >= 8 and len(without) > len(late) / 2


if __name__ == "__main__":
    run_case(__file__, case)
