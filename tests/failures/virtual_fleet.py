"""Instances with real log components and a simulated log, in one process and in virtual time."""

import heapq
import itertools
import json
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

from circuits import BaseComponent, handler
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.configuration import Change
from ibispaddle_core.idempotency import CallCompleted, Outcome, Send, scoped_key
from ibispaddle_core.settings import FleetConfig, InstanceSettings
from ibispaddle_daemon.claims import ClaimCoordinator
from ibispaddle_daemon.committers import CommitterPool
from ibispaddle_daemon.configuration import Configuration
from ibispaddle_daemon.events import (
    CallFailure,
    HttpCallError,
    call_completed,
    claim_finished,
    claim_requested,
    peer_received,
    usage_counted,
)
from ibispaddle_daemon.platform_log import PlatformLog
from ibispaddle_daemon.timers import TimerQueue
from ibispaddle_daemon.usage import UsageRecorder

LATENCY_MS = 5
RATE_CAP_PER_S = 300
RATE_WINDOW_S = 0.25
START_INTERVAL_MS = 217  # Staggers the starts, so that the instances don't flush simultaneously.


class VirtualLog:
    """Simulation of the platform's log.

    With the fault "unreachable" connections are refused; with any other fault requests fail with
    503, and so do those of the instances in `turned_away`.
    """

    def __init__(self, clock, timers):
        self.clock, self.timers = clock, timers
        self.streams = {}
        self.waiting_reads = []
        self.fault = ""
        self.turned_away = set()
        self.appends_ms = []  # Times of all append requests, including failed ones.
        self.rate_limited_appends = 0
        self._available_appends, self._available_updated_ms = RATE_CAP_PER_S * RATE_WINDOW_S, 0

    def call(self, root, call):
        self.timers.after(LATENCY_MS, lambda: self.handle(root, call))

    def answer(self, root, call, status, body):
        event = call_completed(call.call_id, status, (), json.dumps(body).encode(), None)
        self.timers.after(LATENCY_MS, lambda: root.fire(event, call.channel))

    def handle(self, root, call):
        url = urlsplit(call.url)
        records = self.streams.setdefault(url.path.split("/")[2], [])
        if call.method == "POST":
            self.appends_ms.append(self.clock.now_ms())
        if self.fault == "unreachable":
            error = HttpCallError(CallFailure.UNREACHABLE, "refused", False)
            root.fire(call_completed(call.call_id, 0, (), b"", error), call.channel)
        elif self.fault or root.own_id in self.turned_away:
            self.answer(root, call, 503, {})
        elif call.method == "POST":
            self.append(root, call, records)
        else:
            query = {name: int(values[0]) for name, values in parse_qs(url.query).items()}
            self.read(root, call, records, query, self.clock.now_ms() + query["wait_ms"])

    def append(self, root, call, records):
        now_ms = self.clock.now_ms()
        gained = (now_ms - self._available_updated_ms) / 1000 * RATE_CAP_PER_S
        self._available_appends = min(
            RATE_CAP_PER_S * RATE_WINDOW_S, self._available_appends + gained
        )
        self._available_updated_ms = now_ms
        if self._available_appends < 1:
            self.rate_limited_appends += 1
            self.answer(root, call, 429, {})
            return
        self._available_appends -= 1
        offset, data = len(records), json.loads(call.body)
        records.append({"offset": offset, "time_ms": self.clock.wall_ms(), "data": data})
        self.answer(root, call, 200, {"offset": offset})
        self.answer_waiting_reads(records)

    def answer_waiting_reads(self, records=None):
        """Respond to the long polls of a stream, or to all of them."""
        due_reads = [item for item in self.waiting_reads if records is None or item[2] is records]
        self.waiting_reads = [item for item in self.waiting_reads if item not in due_reads]
        for item in due_reads:
            self.read(*item[:4], wait_deadline_ms=0)

    def read(self, root, call, records, query, wait_deadline_ms):
        now_ms, start = self.clock.now_ms(), query["from"]
        if start >= len(records) and now_ms < wait_deadline_ms and not self.fault:
            item = (root, call, records, query, wait_deadline_ms)
            self.waiting_reads.append(item)
            self.timers.at(wait_deadline_ms, lambda: self.end_wait(item))
        elif self.fault or root.own_id in self.turned_away:
            self.answer(root, call, 503, {})
        else:
            page = {"first_offset": 0, "next_offset": len(records)}
            self.answer(root, call, 200, page | {"records": records[start:][: query["limit"]]})

    def end_wait(self, item):
        if item in self.waiting_reads:
            self.waiting_reads.remove(item)
            self.read(*item)

    def set_fault(self, fault):
        self.fault = fault
        if fault:
            self.answer_waiting_reads()


class FakeView:
    """A membership view in which all instances are live, distributed over three data centres."""

    def __init__(self, names):
        self.names = names

    def ranked_instances(self, now_ms, data_centre=None):
        return self.names

    def members(self, now_ms, kind=None):
        return [SimpleNamespace(entry=self.entry(name), state="live") for name in self.names]

    def entry(self, name):
        return SimpleNamespace(id=name, data_centre=f"dc{self.names.index(name) % 3}")

    def state(self, name, now_ms):
        return "live"

    def boot(self, name):
        return 0


class VirtualInstance(BaseComponent):
    """Root component of one instance, which records the outcomes for callers and operators."""

    channel = "caller"

    def __init__(self, name, fleet):
        super().__init__()
        self.own_id, self.fleet, self.calls = name, fleet, itertools.count()
        self.started_ms, self.finish_ms = {}, []
        self.decisions, self.changes = [], []
        settings = InstanceSettings(
            instance_id=name,
            data_centre=fleet.view.entry(name).data_centre,
            log_url="http://log",
            list_url="http://list",
            gossip_interval_ms=2_000,
        )
        clock, timers = fleet.clock, fleet.timers
        seed = fleet.view.names.index(name)
        self.log = PlatformLog(settings.log_url, clock, timers, seed).register(self)
        self.configuration = Configuration(
            settings, FleetConfig(), fleet.view, clock, timers, seed
        ).register(self)
        self.usage = UsageRecorder(settings, fleet.view, 1, clock, timers).register(self)
        peers = SimpleNamespace(send=self.send)
        self.claims = ClaimCoordinator(settings, 1, fleet.view, peers, clock, timers).register(self)
        self.committers = CommitterPool(settings, 1, fleet.view, clock, timers).register(self)
        self.committers._on_list_changed(())

    @handler("http_call", channel="*")
    def _on_http_call(self, call):
        self.fleet.log.call(self, call)

    @handler("peer_send", channel="*")
    def _on_peer_send(self, instance_id, message):
        self.send(instance_id, message)

    def send(self, instance_id, message):
        self.fleet.instances[instance_id].fire(peer_received(self.own_id, message), "*")
        return True

    def send_request(self, timeout_ms=5_000):
        """Request a claim as the service proxy does, and count the usage of one request."""
        call_id, now_ms = f"{self.own_id}.{next(self.calls)}", self.fleet.clock.now_ms()
        self.started_ms[call_id] = now_ms
        key = scoped_key("w", "shop", f"{self.fleet.clock.wall_ms()}-{call_id}")
        event = claim_requested(call_id, key, "h", now_ms + timeout_ms, self.channel)
        self.fire(event, "*")
        self.fire(usage_counted("w", "n", 10, 5, 1.0), "*")

    @handler("claim_decided")
    def _on_claim_decided(self, call_id, decision):
        now_ms = self.fleet.clock.now_ms()
        self.decisions.append((self.started_ms.pop(call_id), now_ms, decision))
        if isinstance(decision, Send):
            result = CallCompleted(Outcome(200, "text/plain", b"done"))
            self.fire(claim_finished(call_id, result), "*")

    def submit_change(self, change_id):
        """Submit a configuration change that expects the instance's current revision."""
        started_ms, revision = self.fleet.clock.now_ms(), self.configuration.revision
        change = Change(change_id, -1 if revision is None else revision, "base", {}, "ann")
        done = lambda outcome: self.changes.append(  # noqa: E731
            (started_ms, self.fleet.clock.now_ms(), outcome)
        )
        self.configuration.apply(change, 10_000, done)

    def queue_sizes(self):
        """Return the sizes of all collections that could grow while the log is down."""
        return {
            "calls": self.log.calls_in_flight,
            "events": len(self),
            "claims": len(self.claims.claim_manager.committer_client)
            + len(self.started_ms)
            + len(self.claims._channels),
            "committers": sum(
                len(followed.committer.queue)
                + len(followed.committer._requests)
                + len(followed.committer._updates)
                for followed in self.committers._followed_partitions.values()
            ),
            "usage": len(self.usage.ledger._tokens) + len(self.usage.ledger.replicas()),
            "changes": len(self.configuration._submissions),
            "peer states": len(self.configuration._requests),
        }


class VirtualFleet:
    """Instances and a log that are driven by one timer queue."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.timers = TimerQueue(self.clock)
        self.log = VirtualLog(self.clock, self.timers)
        self.view = FakeView(tuple(f"entry.{n}" for n in range(count)))
        self.instances = {name: VirtualInstance(name, self) for name in self.view.names}
        for number, instance in enumerate(self.instances.values()):
            self.run_to(number * START_INTERVAL_MS)
            for component in instance.components:
                if hasattr(component, "_on_started"):
                    component._on_started()
            self.flush()

    def flush(self):
        while any(len(instance) for instance in self.instances.values()):
            for instance in self.instances.values():
                while len(instance):
                    instance.flush()

    def run_to(self, time_ms):
        """Advance the virtual time to `time_ms`, running the due timers in order."""
        event = SimpleNamespace(reduce_time_left=lambda seconds: None)
        heap = self.timers._heap
        while heap and heap[0][0] <= time_ms:
            due_ms, _, handle = heap[0]
            if handle.callback is None:
                heapq.heappop(heap)
                continue
            self.clock.monotonic_ms = max(self.clock.monotonic_ms, due_ms)
            self.timers._on_generate_events(event)
            self.flush()
        self.clock.monotonic_ms = max(self.clock.monotonic_ms, time_ms)

    def count_requests(self):
        """Return the number of requests counted by the instances and the number in the log."""
        counted = sum(i.usage.ledger.counters["w"].requests for i in self.instances.values())
        newest = {}
        for record in self.log.streams.get("usage", ()):
            data = record["data"]
            count = data["counters"]["w"][0]
            newest[data["instance_boot"]] = max(count, newest.get(data["instance_boot"], 0))
        return counted, sum(newest.values())


def list_outcomes(instances, kind, begin_ms, end_ms):
    """Return (start, end, outcome) of the operations that started in a period.

    `kind` is "decisions" for claims of callers or "changes" for configuration changes of operators.
    """
    found = [item for i in instances.values() for item in getattr(i, kind)]
    return sorted((x for x in found if begin_ms <= x[0] < end_ms), key=lambda item: item[:2])
