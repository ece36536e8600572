"""Measure the scheduler's decision time per request with 25 and with 730 runners.

    python -m ibispaddle_bench.experiment_decisions

One instance out of 8 (with 25 runners) or 390 (with 730 runners) handles 28 requests per second. The
measurement includes first tokens, ends of attempts, the load reports of all runners and gossip.
"""

import json
import time
from random import Random

from ibispaddle_core.scheduling import (
    AttemptEnded,
    Dispatch,
    Event,
    FirstToken,
    LoadReported,
    Outcome,
    PeerConsumption,
    RequestArrived,
    RunnerLoad,
    Scheduler,
    Tick,
    TokensRelayed,
    Upstream,
    UpstreamsChanged,
)

from .engine_model import KV_TOKENS
from .experiment_scenarios import fleet_config
from .workload import capacity_per_s, generate_arrivals

REQUESTS_PER_S = 28.0
DURATION_MS = 60_000


def measure(runners: int, instances: int, busy: bool) -> dict[str, float]:
    """Return the time per request in microseconds; if `busy`, runners report waiting prompts."""
    rng = Random(f"decisions/{runners}")
    scheduler = Scheduler.from_config(fleet_config({}), 1, "boot-0")
    upstreams = tuple(Upstream(f"r{n:04}", "dc1", ("m",)) for n in range(runners))
    scheduler.handle(UpstreamsChanged(upstreams), 0)
    events: list[tuple[float, Event]] = []
    # The consumption counters of every peer arrive once in 5 s.
    for number in range(DURATION_MS // 5_000 * (instances - 1)):
        peer = PeerConsumption(f"boot-{1 + number % (instances - 1)}", {"north": number * 10.0})
        events.append((number * 5_000 / (instances - 1), peer))
    for arrival in generate_arrivals(1, REQUESTS_PER_S / capacity_per_s(), DURATION_MS):
        events.append((arrival.at_ms, RequestArrived(arrival.request)))
    requests = sum(isinstance(event, RequestArrived) for _, event in events)
    # Gossip carries at most 29 KB/s; 300 load reports of about 40 bytes per second fit into it.
    reports_per_s = min(300.0, runners * 2.0)
    for number in range(int(reports_per_s * DURATION_MS / 1000)):
        name = f"r{number % runners:04}"
        waiting = rng.randrange(8) if busy else 0
        at_ms = number * 1000 / reports_per_s
        load = RunnerLoad(
            name, "b", number, int(at_ms), 20, waiting, waiting * 4_000, 150_000, KV_TOKENS, 5e4, 70
        )
        events.append((at_ms, LoadReported(load)))
    events.sort(key=lambda event: event[0])
    pending: list[tuple[float, str, str]] = []
    total_s = arrival_s = 0.0
    arrival_times = []
    for at_ms, event in events:
        now_ms = int(at_ms)
        while pending and pending[0][0] <= at_ms:
            _, request_id, upstream_id = pending.pop(0)
            started = time.perf_counter()
            scheduler.handle(FirstToken(request_id), now_ms)
            scheduler.handle(TokensRelayed(request_id, 200), now_ms)
            scheduler.handle(AttemptEnded(request_id, upstream_id, Outcome.COMPLETED, True), now_ms)
            total_s += time.perf_counter() - started
        started = time.perf_counter()
        decisions = scheduler.handle(event, now_ms)
        scheduler.next_wakeup_ms(now_ms)
        elapsed = time.perf_counter() - started
        total_s += elapsed
        if isinstance(event, RequestArrived):
            arrival_s += elapsed
            arrival_times.append(elapsed)
        for decision in decisions:
            if isinstance(decision, Dispatch):
                pending.append((at_ms + 2_000, decision.request_id, decision.upstream_id))
    scheduler.handle(Tick(), DURATION_MS)
    arrival_times.sort()
    return {
        "runners": runners,
        "instances": instances,
        "busy": busy,
        "requests": requests,
        "arrival_mean_us": 1e6 * arrival_s / requests,
        "arrival_p99_us": 1e6 * arrival_times[int(0.99 * requests)],
        "all_events_us_per_request": 1e6 * total_s / requests,
    }


def main() -> int:
    """Print one JSON line per fleet size, and the increase per runner."""
    for busy in (False, True):
        rows = [measure(25, 8, busy), measure(200, 107, busy), measure(730, 390, busy)]
        for row in rows:
            print(json.dumps(row))
        slope = (rows[2]["arrival_mean_us"] - rows[0]["arrival_mean_us"]) / (730 - 25)
        print(json.dumps({"busy": busy, "slope_us_per_runner": slope}))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
