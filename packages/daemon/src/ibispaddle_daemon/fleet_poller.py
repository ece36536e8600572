"""Simple poller of the instance list and of all runners' load reports.

It fires the same events as `instance_list` and `probes`, which replace it in a fleet.
"""

from dataclasses import dataclass

import msgspec
from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.membership import Kind, ListEntry, parse_list
from ibispaddle_core.scheduling import RunnerLoad

from .calls import CallResult, Calls
from .events import list_changed, load_reported, readiness_changed, runner_failed
from .logs import log_event
from .timers import TimerQueue

PROBE_TIMEOUT_MS = 800
LIST_TIMEOUT_MS = 2_000
MAX_FAILED_PROBES = 2


class _LoadBody(msgspec.Struct):
    boot_id: str
    seq: int
    running: int
    waiting: int
    queued_prefill_tokens: int
    kv_tokens_used: int
    kv_tokens_total: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


@dataclass
class _Probe:
    in_flight: bool = False
    failures: int = 0


class FleetPoller(BaseComponent):
    """Poll the list and every runner in it."""

    channel = "fleet_poller"

    def __init__(
        self,
        list_url: str,
        list_interval_ms: int,
        probe_interval_ms: int,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._url = list_url.rstrip("/") + "/instances"
        self._list_interval_ms = list_interval_ms
        self._probe_interval_ms = probe_interval_ms
        self._clock = clock
        self._timers = timers
        self._calls = Calls("fleet_poller_calls", clock).register(self)
        self._runners: dict[str, ListEntry] = {}
        self._probes: dict[str, _Probe] = {}
        self._list_available = True
        timers.after(0, self._read_list)
        timers.after(0, self._probe_all)

    def _read_list(self) -> None:
        self._calls.send("GET", self._url, b"", LIST_TIMEOUT_MS, self._on_list)

    def _on_list(self, result: CallResult) -> None:
        self._timers.after(self._list_interval_ms, self._read_list)
        parsed = parse_list(result.body) if result.status == 200 else None
        if parsed is None or parsed.is_err():
            if self._list_available:
                log_event(logevents.LIST_UNAVAILABLE, url=self._url, status=result.status)
            self._list_available = False
            return
        self._list_available = True
        entries = parsed.unwrap().entries
        runners = {entry.id: entry for entry in entries if entry.kind is Kind.RUNNER}
        added = runners.keys() - self._runners.keys()
        self._runners = runners
        self._probes = {name: self._probes.get(name, _Probe()) for name in runners}
        self.fire(list_changed(entries), "*")
        self.fire(readiness_changed("fleet", True), "*")
        for name in added:
            self._probe(runners[name])

    def _probe_all(self) -> None:
        self._timers.after(self._probe_interval_ms, self._probe_all)
        for entry in self._runners.values():
            self._probe(entry)

    def _probe(self, entry: ListEntry) -> None:
        probe = self._probes[entry.id]
        if probe.in_flight:
            return
        probe.in_flight = True

        def done(result: CallResult) -> None:
            probe.in_flight = False
            self._on_load(entry, probe, result)

        self._calls.send("GET", f"http://{entry.address}/load", b"", PROBE_TIMEOUT_MS, done)

    def _on_load(self, entry: ListEntry, probe: _Probe, result: CallResult) -> None:
        try:
            if result.status != 200:
                raise ValueError(f"status {result.status}")
            body = msgspec.json.decode(result.body, type=_LoadBody)
        except (ValueError, msgspec.DecodeError):
            probe.failures += 1
            if probe.failures == MAX_FAILED_PROBES:
                log_event(logevents.UPSTREAM_DOWN, upstream=entry.id)
                self.fire(runner_failed(entry.id), "*")
            return
        probe.failures = 0
        load = RunnerLoad(
            upstream_id=entry.id,
            observed_ms=self._clock.now_ms(),
            **{name: getattr(body, name) for name in body.__struct_fields__},
        )
        self.fire(load_reported(load), "*")
