"""Base of tests in which instances reach no upstream while consumers still reach them."""

import contextlib
import json
import time
import unittest
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from ibispaddle_bench.processes import ManagedProcess

from tests.soak.callers import Call
from tests.soak.judge import STREAM_BODY
from tests.support.service import is_served_worse

from .consumers import KINDS, Consumers
from .processes import Instance, Platform, configuration, route
from .upstream_links import CutMode, UpstreamLinks

DATA_CENTRES = ("a", "b")
INSTANCES = 6  # Every second one is in "b".
RUNNERS, SERVICES = 4, 2
REQUESTS_PER_S = 60.0
WARM_UP_S = 1.5
# The platform's `stable_window_ms`.
STABLE_WINDOW_S = 3.0
MEASURED_S = 4.0
RETURN_S = 2.0
# Time in which requests that were under way run, or end.
SETTLE_S = 1.5
# Upstreams get it whenever a stream is resumed, whoever sends the request.
RESUMPTION_HEADER = "last-event-id"
ATTEMPTS = 2
NOT_RUN_STATUSES = (408, 421, 429, 503)
# The consumers and all processes share one machine.
SCHEDULING_MARGIN_S = 0.5


def data_centre(number: int) -> str:
    """Return the data centre of an instance or upstream by its number.

    >>> data_centre(0), data_centre(1)
    ('a', 'b')
    """
    return DATA_CENTRES[number % len(DATA_CENTRES)]


def count_served(calls: Iterable[Call]) -> str:
    """Return how many requests of each kind were served, and how the others ended."""
    found: dict[str, list[Call]] = defaultdict(list)
    for call in calls:
        found[call.route].append(call)
    texts = []
    for name, group in sorted(found.items()):
        failures: dict[str, int] = defaultdict(int)
        for call in group:
            if not call.is_success:
                failures[str(call.outcome)] += 1
        served = sum(call.is_success for call in group)
        texts.append(f"{name} {served} of {len(group)} {dict(failures) or ''}".strip())
    return ", ".join(texts)


class IsolationTestCase(unittest.TestCase):
    """Instances in two data centres, with links between each of them and each upstream, and consumers."""

    def setUp(self) -> None:
        self.links = UpstreamLinks(INSTANCES)
        self.addCleanup(self.links.close)
        self.platform = Platform(
            runners=0,
            services=0,
            listed_address=self.links.open,
            upstream_ip=self.links.own_ip(0),
        )
        self.addCleanup(self.platform.__exit__)
        self.start_upstreams("first")
        with ThreadPoolExecutor() as pool:
            self.platform.instances += pool.map(self._start_instance, range(1, INSTANCES))
        routes = [
            route("stream", "streaming", "llm", resumable=True, gap_aim_ms=250, attempts=ATTEMPTS),
            route("once", "non_idempotent", "shop", attempts=ATTEMPTS),
            route("read", "idempotent", "shop", attempts=ATTEMPTS),
            route("upload", "idempotent", "llm", attempts=ATTEMPTS),
        ]
        self.platform.configure(configuration(2, routes=routes))
        for instance in self.platform.instances:
            for upstream in self.upstreams:
                instance.wait_for_upstream(upstream.name)
        time.sleep(STABLE_WINDOW_S)
        self.consumers = Consumers(self.platform.instances, REQUESTS_PER_S)
        self.addCleanup(self.consumers.end)
        time.sleep(WARM_UP_S)

    def _start_instance(self, number: int) -> Instance:
        options = {"data_centre": data_centre(number), "upstream_ip": self.links.own_ip(number)}
        return self.platform.start_instance(number, **options)

    def start_upstreams(self, prefix: str) -> None:
        """Start runners and services of all data centres."""

        def start(service: str, number: int) -> ManagedProcess:
            name = f"{prefix}-{service}-{number}"
            record = ("--record", str(self.record(name)))
            return self.platform.start_runner(name, service, *record, zone=data_centre(number))

        self.platform.runners += [start("llm", n) for n in range(RUNNERS)]
        self.platform.services += [start("shop", n) for n in range(SERVICES)]

    def record(self, name: str) -> Path:
        """Return the path of an upstream's record of its runs, which outlives the process."""
        return Path(self.platform.folder) / f"{name}.runs"

    @property
    def upstreams(self) -> list[ManagedProcess]:
        """Return all runners and services."""
        return [*self.platform.runners, *self.platform.services]

    def sent_between(self, begin_s: float, end_s: float) -> list[Call]:
        """Return the requests that were sent in a period."""
        return [call for call in self.consumers.calls if begin_s <= call.sent_s < end_s]

    def check_cut(self, modes: dict[int, CutMode]) -> None:
        """Cut instances from all upstreams and check the rule, the runs and the way back."""
        begin_s = time.monotonic()
        for number, mode in modes.items():
            self.links.set_mode(mode, [number])
        time.sleep(STABLE_WINDOW_S + MEASURED_S)
        measured_s = time.monotonic()
        # Requests that wait for the end of the cut must not count as served.
        time.sleep(max(kind.deadline_ms for kind in KINDS) / 1000)
        end_s = time.monotonic()
        self.links.set_mode(CutMode.OPEN, modes)
        time.sleep(STABLE_WINDOW_S + RETURN_S)
        self.consumers.end()
        time.sleep(SETTLE_S)
        faults = self.find_unserved(set(modes), begin_s + STABLE_WINDOW_S, measured_s)
        faults += self.find_wrong_runs() + self.find_late_answers()
        faults += self.find_indirect(end_s + STABLE_WINDOW_S, time.monotonic())
        self.assertEqual(faults, [], "\n".join(faults))

    def find_unserved(self, isolated: set[int], begin_s: float, end_s: float) -> list[str]:
        """Return the breaches of the rule, for all first tries and for those of each kind."""
        calls = self.sent_between(begin_s, end_s)
        groups = {"all": calls}
        groups |= {kind.route: [c for c in calls if c.route == kind.route] for kind in KINDS}
        faults = []
        for name, group in groups.items():
            there = [call for call in group if call.instance in isolated]
            others = [call for call in group if call.instance not in isolated]
            self.assertTrue(there and others, f"{name}: no request to compare")
            if is_served_worse([c.is_success for c in there], [c.is_success for c in others]):
                texts = count_served(there), count_served(others)
                faults.append(f"RECOVER, {name}: {texts[0]} there; {texts[1]} elsewhere")
        return faults

    def find_wrong_runs(self) -> list[str]:
        """Return requests that ran too often or altered, or although an answer states that they did not."""
        runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for path in Path(self.platform.folder).glob("*.runs"):
            for line in path.read_text().splitlines():
                with contextlib.suppress(json.JSONDecodeError):  # Truncated when it was killed.
                    run = json.loads(line) | {"at": path.stem}
                    runs[run["headers"]["attempt-id"]].append(run)
        faults = []
        for call in self.consumers.calls:
            found = runs.get(call.attempt_id, [])
            names = [run["at"] for run in found]
            label = f"{call.attempt_id} ({call.route}, instance {call.instance}, {call.outcome})"
            if call.route == "once" and len(found) > 1:
                faults.append(f"TWICE: {label} ran at {names}")
            if len(found) > ATTEMPTS:
                faults.append(f"BUDGET: {label} ran at {names}")
            if call.outcome in NOT_RUN_STATUSES and found:
                faults.append(f"REFUSED: {label} ran at {names}")
            if call.is_success and not self._is_answer_of(call, names):
                faults.append(f"MIXED: {label} got {call.headers} and {call.body[:200]!r}")
            faults += (f"UNASKED: {label} ran as {run}" for run in found if self._is_altered(run))
        return faults + self._find_added_headers(runs)

    @staticmethod
    def _is_answer_of(call: Call, names: list[str]) -> bool:
        stamp = call.headers.get("server-stamp", "")
        body = STREAM_BODY if call.route == "stream" else f"answer of {stamp}".encode()
        is_own = call.headers.get("attempt-id") == call.attempt_id
        return is_own and stamp in names and call.body == body

    @staticmethod
    def _is_altered(run: dict[str, Any]) -> bool:
        """Return whether a request reached an upstream otherwise than its consumer sent it."""
        headers = run["headers"]
        kind = next(kind for kind in KINDS if run["path"].startswith(f"/{kind.route}/"))
        return (
            run["path"] != f"/{kind.route}/x?n={headers['attempt-id']}"
            or run["body"] != "x" * kind.body_bytes
            or (headers.get("tenant"), headers.get("host")) != ("blue", "a.example")
            or "key" in headers
            or not 0 < int(headers["deadline-ms"]) <= kind.deadline_ms
        )

    def _find_added_headers(self, runs: dict[str, list[dict[str, Any]]]) -> list[str]:
        """Return headers that upstreams get only if another instance sends a request to them."""
        senders = self.links.senders()
        names: dict[bool, set[str]] = {True: set(), False: set()}
        for call in self.consumers.calls:
            for run in runs.get(call.attempt_id, []):
                names[senders[call.attempt_id] <= {call.instance}] |= set(run["headers"])
        added = names[False] - names[True] - {RESUMPTION_HEADER}
        return [f"UNASKED: upstreams get {sorted(added)}"] if added else []

    def find_late_answers(self) -> list[str]:
        """Return requests that ended after their deadline, or not at all."""
        limits = {kind.route: kind.deadline_ms / 1000 + SCHEDULING_MARGIN_S for kind in KINDS}
        return [
            f"TIME: {call.attempt_id} ({call.route}, instance {call.instance}, {call.outcome}) "
            f"ended after {call.ended_s - call.sent_s:.2f} s; its instance logged "
            f"{self._logged_durations_ms(call)} ms"
            for call in self.consumers.calls
            if call.ended_s - call.sent_s > limits[call.route]
        ]

    def _logged_durations_ms(self, call: Call) -> list[int]:
        """Return the time that a request took by its instance's log."""
        lines = self.platform.instances[call.instance].events("forwarding_ended")
        return [line["duration_ms"] for line in lines if line["request"] == call.attempt_id]

    def find_indirect(
        self,
        begin_s: float,
        end_s: float,
        routes: set[str] | None = None,
        must_be_served: bool = True,
    ) -> list[str]:
        """Return requests that another instance sent to an upstream, or that were not served."""
        senders = self.links.senders()
        calls = [c for c in self.sent_between(begin_s, end_s) if not routes or c.route in routes]
        self.assertTrue(calls)
        faults = []
        for call in calls:
            found = senders.get(call.attempt_id, set())
            if not found <= {call.instance} or (must_be_served and not call.is_success):
                label = (
                    f"{call.attempt_id} ({call.route}, instance {call.instance}, {call.outcome})"
                )
                faults.append(f"INDIRECT: {label} sent by {sorted(found)}")
        return faults
