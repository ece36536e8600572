"""Measure claims and configuration changes: `python -m tests.idempotency.measure`.

Prints a JSON object. Times are in milliseconds, CPU time in milliseconds per second. `--sizes` and
`--rates` set the numbers of instances and of calls per second. All calls go to the first two
instances; the others receive no calls.
"""

import argparse
import json
import os
import statistics
import time
from concurrent.futures import ThreadPoolExecutor

from ibispaddle_bench.fleet import Fleet, FleetSpec

from tests.configuration.test_processes import call_operator_api

from .test_processes import Call, new_key

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PERIOD_S = 10
SEQUENTIAL_CALLS = 150
CALLED_INSTANCES = 2
BYTE_METRICS = (
    "ibispaddle_log_read_bytes",
    "ibispaddle_peer_sent_bytes",
    "ibispaddle_peer_received_bytes",
)


def cpu_ms(entry):
    """Return the CPU time that a process has used."""
    with open(f"/proc/{entry.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / CLOCK_TICKS


def metrics(entry):
    import urllib.request

    with urllib.request.urlopen(f"{entry.url}/metrics", timeout=5) as response:
        lines = response.read().decode().splitlines()
    results = {}
    for line in lines:
        if not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            results[name.partition("{")[0]] = float(value)
    return results


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
    """Return the latencies of calls sent at a fixed rate to the first two instances."""
    with ThreadPoolExecutor(64) as pool:
        futures = []
        started = time.monotonic()
        for number in range(int(calls_per_s * seconds)):
            time.sleep(max(0.0, started + number / calls_per_s - time.monotonic()))
            entry = fleet.entries[number % CALLED_INSTANCES]
            futures.append(pool.submit(timed, entry, new_key(), "POST"))
        return [future.result() for future in futures]


def usage(fleet):
    """Return the CPU time and byte counters of the instances that receive no calls."""
    results = []
    for entry in fleet.entries[CALLED_INSTANCES:]:
        values = metrics(entry)
        results.append((cpu_ms(entry), *(values[name] for name in BYTE_METRICS)))
    return results


def resource_use(fleet, before, seconds):
    """Return the resource use per second of each instance that receives no calls."""
    rows = []
    for entry, old, new in zip(fleet.entries[CALLED_INSTANCES:], before, usage(fleet), strict=True):
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
    results = {}
    first = fleet.entries[0]
    plain, claimed = [], []
    before = appends(fleet)
    for _ in range(SEQUENTIAL_CALLS):
        plain.append(timed(first, "", "GET"))
        claimed.append(timed(first, new_key(), "POST"))
    results["plain_call"] = summary(plain)
    results["claimed_call_one_at_a_time"] = summary(claimed)
    results["appends_per_call_one_at_a_time"] = round(
        (appends(fleet) - before) / SEQUENTIAL_CALLS, 2
    )
    for rate in (0, *rates):
        used, before, started = usage(fleet), appends(fleet), time.monotonic()
        row = {"load_average": os.getloadavg()[0]}
        if rate:
            row["latency"] = summary(at_rate(fleet, rate, PERIOD_S))
        else:
            time.sleep(PERIOD_S)
        seconds = time.monotonic() - started
        row["appends_per_s"] = round((appends(fleet) - before) / seconds, 1)
        row["instances_without_callers"] = resource_use(fleet, used, seconds)
        results[f"at_{rate}_calls_per_s"] = row
    return results


def changes(fleet, count):
    """Return the times from the operator's request until all instances have applied a change."""
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
        status, body = call_operator_api(fleet.entries[number % 3], "config", change)
        if status != 200:
            raise AssertionError(body)
        revision = body["revision"]
        for entry in fleet.entries:
            while call_operator_api(entry, "config")[1]["revision"] != revision:
                time.sleep(0.001)
        times.append((time.monotonic() - started) * 1000)
    return times


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 6, 9])
    parser.add_argument("--rates", type=int, nargs="+", default=[20, 80])
    parser.add_argument("--changes", type=int, default=30)
    args = parser.parse_args()
    results = {}
    for size in args.sizes:
        with Fleet(FleetSpec(entries=size, runners=0, services=1)) as fleet:
            time.sleep(3)
            results[f"{size}_instances"] = measure_claims(fleet, args.rates)
            if size == 3 and args.changes:
                results["change_in_force_everywhere"] = summary(changes(fleet, args.changes))
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
