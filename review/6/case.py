"""The store turns the first hub away; meanwhile it gets many configurations and a key is taken away."""

import asyncio
import itertools
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))
from standins import (  # noqa: E402
    BROKEN,
    HELD,
    KEYS,
    NOT_RUN,
    TROUBLE,
    Deployment,
    call,
    configuration,
    run,
)

CUT_S = 9.0  # `platform_down`, "nodes": for_s 9.0 in the site file
STORM_CHANGES, STORM_GAP_S = 11, 0.33  # `config_storm` of the site file: for_s 4.0, gap_s 0.33
IDLE_ROUTES = 110 + 420  # the site's idle routes and `big_config`, count 420
REVOKE_S = 5.0
CONSUMERS = 24
THINK_S = (0.05, 0.15)  # between a consumer's requests
TENANT = "wena112"


async def case(record):
    async with Deployment(record, machines=3) as deployment:
        store, versions = deployment.store, itertools.count(9, 3)
        await deployment.start()
        store.put("keyed.op", "config", configuration(8, idle_routes=IDLE_ROUTES))
        await asyncio.sleep(4.0)
        before = dict(store.reads)
        await asyncio.sleep(3.0)
        reads = {name: store.reads[name] - count for name, count in before.items()}
        record(f"reads of the configuration in 3 s: {reads}")
        hub = max(deployment.instances, key=lambda instance: reads[instance.name])
        if not reads[hub.name]:
            return record.verdict(NOT_RUN, "no machine reads the configuration")

        async def heartbeats():
            while True:
                for runner in deployment.runners:
                    name, entry = runner.name.encode(), json.dumps(runner.entry()).encode()
                    store.topic("keyed.servers").append(bytes([len(name)]) + name + entry)
                await asyncio.sleep(1.2)

        deployment.background(heartbeats())
        sent, statuses, numbers = {}, {}, itertools.count(1)

        async def consumer():
            """A consumer whose key is taken away."""
            while True:
                attempt = f"a{next(numbers):06}"
                headers = {"Attempt-Id": attempt, "Deadline-Ms": "600", "Key": KEYS[TENANT][0]}
                try:
                    sent[attempt] = time.monotonic()
                    got = await call(hub.front, "GET", "/cufi504/2f", headers, timeout_s=1.0)
                    statuses[attempt] = got.status
                except (OSError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(random.uniform(*THINK_S))

        for _ in range(CONSUMERS):
            deployment.background(consumer())
        began = time.monotonic()
        if TROUBLE:
            record(f"the store turns {hub.name} away (503) for {CUT_S} s")
            store.gates[hub.name] = "busy"
        for _ in range(STORM_CHANGES):
            config = configuration(next(versions), idle_routes=IDLE_ROUTES)
            store.put("keyed.op", "config", config)
            await asyncio.sleep(STORM_GAP_S)
        kept = {name: keys for name, keys in KEYS.items() if name != TENANT}
        config = configuration(next(versions), keys=kept, idle_routes=IDLE_ROUTES)
        revoked = store.put("keyed.op", "config", config)
        record(f"the key of {TENANT} is taken away (confirmed now)")
        await asyncio.sleep(max(0.0, began + CUT_S - time.monotonic()))
        store.gates[hub.name] = "open"
        record(f"the store serves {hub.name} again, {time.monotonic() - revoked:.2f} s after that")
        await asyncio.sleep(4.0)

        late = revoked + REVOKE_S
        runs = [
            (attempt, tenant)
            for runner in deployment.runners
            for _, attempt, tenant, _ in runner.runs
            if sent.get(attempt, 0.0) > late
        ]
        asked = sum(at > late for at in sent.values())
        for attempt, tenant in runs:
            at = sent[attempt] - revoked
            record(f"{attempt} was sent {at:.3f} s after the confirmation and ran as {tenant}")
        count = {}
        for attempt, status in statuses.items():
            if sent[attempt] > late:
                count[status] = count.get(status, 0) + 1
        record(f"{asked} requests sent later than {REVOKE_S} s after it: answers {count}")
        if not asked or not any(at < revoked for at in sent.values()):
            return record.verdict(NOT_RUN, "no requests with the key")
        if runs:
            return record.verdict(BROKEN, f"CONFIG: {len(runs)} requests ran with a revoked key")
        return record.verdict(HELD, "no request ran with the revoked key")


run(case, __file__)
