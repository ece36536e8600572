"""Costs of the order of waiting long prompts at the design size, without a network.

Each of 390 instances reports none, one or two prompts that wait for memory. Printed are the processor time of a
report and an answer at the hub, that of an instance's decision, and the size of the messages.
"""

import time
from collections.abc import Callable
from dataclasses import replace

from ibispaddle_core.hubs import WorkAggregator
from ibispaddle_core.scheduling import PeerWork, UpstreamWork, WaitingPrompt
from ibispaddle_core.scheduling.reservation_order import (
    MAX_FLEET_REPORTED,
    MAX_REPORTED,
    ReservationOrder,
)
from ibispaddle_daemon.fleet.messages import FleetCodec, WorkSnapshot, WorkUpdate, encode_waiting

INSTANCES, RUNNERS, WORKSPACES = 390, 730, 24
REPEATS = 500
# Instances that wait ask their hub again after this time.
REFRESH_MS = 50


def waiting_prompt(instance: int, number: int) -> WaitingPrompt:
    """Return a waiting prompt with names of usual length."""
    return WaitingPrompt(
        0,
        f"edge_hu_central_a_{instance}-61078cff-{number}",
        model="llm",
        workspace=f"workspace-{(instance + number) % WORKSPACES}",
        tokens=400_000,
        latest_start_ms=1_000_000 + 7 * instance + number,
    )


def processor_us(call: Callable[[int], object]) -> float:
    """Return the processor time of a call, which gets the time in ms, at intervals of an instance's share."""
    started = time.process_time()
    for number in range(REPEATS):
        call(number * REFRESH_MS // INSTANCES)
    return (time.process_time() - started) / REPEATS * 1e6


def measure(waiting: int) -> str:
    """Return a row for a number of waiting prompts at each instance."""
    hub = WorkAggregator()
    for number in range(INSTANCES):
        work = {
            f"r{(3 * number + part) % RUNNERS}": UpstreamWork(5.0, 1, 9_000) for part in range(4)
        }
        prompts = tuple(waiting_prompt(number, item) for item in range(waiting))
        holders = {f"workspace-{number % WORKSPACES}": 1}
        report = PeerWork(f"i{number}", work, waiting=prompts, holders=holders)
        hub.update(report, 0)

    def answer(now_ms: int) -> None:
        hub.update(report, now_ms)
        hub.total_excluding("i7", now_ms)

    answer_us = processor_us(answer)
    others = hub.total_excluding("i7", 0)
    order = ReservationOrder(0)
    order.replace_fleet(others.waiting, others.holders, 0)
    own = replace(waiting_prompt(7, 0), latest_start_ms=2_000_000)
    decision_us = processor_us(lambda now_ms: order.prompts_before(own, {"workspace-7": 1}, now_ms))
    codec = FleetCodec()
    rows = encode_waiting(others.waiting, 0)
    snapshot = WorkSnapshot(1, (), (), waiting=rows, holders=tuple(others.holders.items()))
    added = len(codec.encode(snapshot)) - len(codec.encode(WorkSnapshot(1, (), ())))
    own_rows = encode_waiting(tuple(waiting_prompt(7, item) for item in range(waiting)), 0)
    update = WorkUpdate((), (), waiting=own_rows, holders=(("workspace-7", 1),))
    sent = len(codec.encode(update)) - len(codec.encode(WorkUpdate((), ())))
    return f"{waiting:8} {answer_us:10.0f} {decision_us:11.1f} {added:14} {sent:12}"


def main() -> None:
    """Print a row for each number of waiting prompts."""
    print(f"{INSTANCES} instances; at most {MAX_REPORTED} reported, {MAX_FLEET_REPORTED} answered")
    print(" waiting  answer us decision us snapshot bytes update bytes")
    for waiting in range(MAX_REPORTED + 1):
        print(measure(waiting))


if __name__ == "__main__":
    main()
