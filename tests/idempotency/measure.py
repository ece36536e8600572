"""Measure claims and configuration changes: `python -m tests.idempotency.measure`.

Prints one JSON object. Times are in milliseconds, processor time in milliseconds per second.
`--sizes` and `--rates` choose the numbers of instances and of calls per second. The calls go to the
first two instances; the others serve no callers.
"""

import argparse
import json
import os
import statistics
import time
from concurrent.futures import ThreadPoolExecutor

from ibispaddle_bench.fleet import Fleet, FleetSpec

from tests.configuration.test_processes import operator

from .test_processes import Call, new_key

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PERIOD_S = 10
ONE_AT_A_TIME = 150
CALLED = 2
BYTES = (
    "ibispaddle_log_read_bytes",
    "ibispaddle_peer_sent_bytes",
    "ibispaddle_peer_received_bytes",
)


def cpu_ms(entry):
    """Return the processor time that a process has used."""
    with open(f"/proc/{entry.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / CLOCK_TICKS


def metrics(entry):
    import urllib.request

    with urllib.request.urlopen(f"{entry.url}/metrics", timeout=5) as response:
        lines = response.read().decode().splitlines()
    found = {}
    for line in lines:
        if not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            found[name.partition("{")[0]] = float(value)
    return found


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
            entry = fleet.entries[number % CALLED]
            futures.append(pool.submit(timed, entry, new_key(), "POST"))
        return [future.result() for future in futures]


def usage(fleet):
    """Return the processor time and the bytes of the instances that serve no callers."""
    found = []
    for entry in fleet.entries[CALLED:]:
        values = metrics(entry)
        found.append((cpu_ms(entry), *(values[name] for name in BYTES)))
    return found


def spent(fleet, before, seconds):
    """Return what each instance without callers used per second, with its partitions."""
    rows = []
    for entry, old, new in zip(fleet.entries[CALLED:], before, usage(fleet), strict=True):
        rates = [round((b - a) / seconds, 1) for a, b in zip(old, new, strict=True)]
        rows.append(
            {
                "partitions": metrics(entry).get("ibispaddle_claim_partitions"),
                "cpu_ms_per_s": rates[0],
                "log_bytes_per_s": round(rates[1]),
                "peer_bytes_per_s": round(rates[2] + rates[3]),
            }
        )
    return rows


def measure_claims(fleet, rates):
    found = {}
    first = fleet.entries[0]
    plain, claimed = [], []
    before = appends(fleet)
    for _ in range(ONE_AT_A_TIME):
        plain.append(timed(first, "", "GET"))
        claimed.append(timed(first, new_key(), "POST"))
    found["plain_call"] = summary(plain)
    found["claimed_call_one_at_a_time"] = summary(claimed)
    found["appends_per_call_one_at_a_time"] = round((appends(fleet) - before) / ONE_AT_A_TIME, 2)
    for rate in (0, *rates):
        used, before, started = usage(fleet), appends(fleet), time.monotonic()
        row = {"load_average": os.getloadavg()[0]}
        if rate:
            row["latency"] = summary(at_rate(fleet, rate, PERIOD_S))
        else:
            time.sleep(PERIOD_S)
        seconds = time.monotonic() - started
        row["appends_per_s"] = round((appends(fleet) - before) / seconds, 1)
        row["instances_without_callers"] = spent(fleet, used, seconds)
        found[f"at_{rate}_calls_per_s"] = row
    return found


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


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 6, 9])
    parser.add_argument("--rates", type=int, nargs="+", default=[20, 80])
    parser.add_argument("--changes", type=int, default=30)
    args = parser.parse_args()
    found = {}
    for size in args.sizes:
        with Fleet(FleetSpec(entries=size, runners=0, services=1)) as fleet:
            time.sleep(3)
            found[f"{size}_instances"] = measure_claims(fleet, args.rates)
            if size == 3 and args.changes:
                found["change_in_force_everywhere"] = summary(changes(fleet, args.changes))
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
