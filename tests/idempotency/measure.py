"""Measure claims and configuration changes: `python -m tests.idempotency.measure`.

Prints one JSON object. Times are in milliseconds, processor time in milliseconds per second.
"""

import json
import os
import statistics
import time
from concurrent.futures import ThreadPoolExecutor

from ibispaddle_bench.fleet import Fleet, FleetSpec

from tests.configuration.test_processes import operator

from .test_processes import Call, new_key

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
IDLE_S = 10


def cpu_ms(entry):
    """Return the processor time that a process has used."""
    with open(f"/proc/{entry.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / CLOCK_TICKS


def metric(entry, name):
    import urllib.request

    with urllib.request.urlopen(f"{entry.url}/metrics", timeout=5) as response:
        lines = response.read().decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(name))


def timed(entry, key, method):
    started = time.monotonic()
    call = Call(entry, key, method=method).done()
    if call.status != 200:
        raise AssertionError(f"status {call.status}: {call.body}")
    return (time.monotonic() - started) * 1000


def summary(values):
    values = sorted(values)
    return {
        "median": round(statistics.median(values), 1),
        "p99": round(values[int(len(values) * 0.99) - 1], 1),
        "n": len(values),
    }


def appends(fleet):
    return fleet.log.state()["appends"]


def at_rate(fleet, calls_per_s, seconds):
    """Return the latencies of calls that start at a fixed rate at the first two instances."""
    with ThreadPoolExecutor(64) as pool:
        futures = []
        started = time.monotonic()
        for number in range(int(calls_per_s * seconds)):
            time.sleep(max(0.0, started + number / calls_per_s - time.monotonic()))
            entry = fleet.entries[number % 2]
            futures.append(pool.submit(timed, entry, new_key(), "POST"))
        return [future.result() for future in futures]


def main():
    found = {}
    with Fleet(FleetSpec(entries=3, runners=0, services=1)) as fleet:
        first, idle = fleet.entries[0], fleet.entries[2]
        time.sleep(1)
        plain, claimed = [], []
        before = appends(fleet)
        for _ in range(150):
            plain.append(timed(first, "", "GET"))
            claimed.append(timed(first, new_key(), "POST"))
        found["plain_call"] = summary(plain)
        found["claimed_call_one_at_a_time"] = summary(claimed)
        found["appends_per_call_one_at_a_time"] = round((appends(fleet) - before) / 150, 2)
        usage = [cpu_ms(idle), metric(idle, "ibispaddle_log_read_bytes")]
        time.sleep(IDLE_S)
        usage = [cpu_ms(idle) - usage[0], metric(idle, "ibispaddle_log_read_bytes") - usage[1]]
        found["idle"] = {"cpu_ms_per_s": usage[0] / IDLE_S, "bytes_per_s": usage[1] / IDLE_S}
        for rate in (20, 80):
            before = [cpu_ms(idle), metric(idle, "ibispaddle_log_read_bytes"), appends(fleet)]
            latencies = at_rate(fleet, rate, IDLE_S)
            found[f"at_{rate}_calls_per_s"] = {
                "latency": summary(latencies),
                "appends_per_call": round((appends(fleet) - before[2]) / len(latencies), 2),
                "follower_cpu_ms_per_s": (cpu_ms(idle) - before[0]) / IDLE_S,
                "follower_bytes_per_call": round(
                    (metric(idle, "ibispaddle_log_read_bytes") - before[1]) / len(latencies)
                ),
            }
        found["change_in_force_everywhere"] = summary(changes(fleet, 30))
    print(json.dumps(found, indent=1))


def changes(fleet, count):
    """Return the times from the operator's request until a change is in force everywhere."""
    times, revision = [], -1
    for number in range(count):
        document = fleet.spec.configuration_document()
        document["neighbours"]["north"]["weight"] = 1.0 + number
        change = {
            "change_id": f"m{number}",
            "expected_revision": revision,
            "layer": "base",
            "document": document,
            "author": "measure",
        }
        started = time.monotonic()
        status, body = operator(fleet.entries[number % 3], "config", change)
        if status != 200:
            raise AssertionError(body)
        revision = body["revision"]
        for entry in fleet.entries:
            while operator(entry, "config")[1]["revision"] != revision:
                time.sleep(0.001)
        times.append((time.monotonic() - started) * 1000)
    return times


if __name__ == "__main__":
    main()
