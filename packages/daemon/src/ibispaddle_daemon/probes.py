"""Probes of this instance's runners: load, failures and expired KV handles."""

import json
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
from absl import logging
from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.gossip import RunnerReport
from ibispaddle_core.logevents import UPSTREAM_DOWN
from ibispaddle_core.membership import ListEntry, MemberKind, MembershipView
from ibispaddle_core.settings import InstanceSettings

from .calls import CallbackHttpClient, CallResult
from .events import (
    CallFailure,
    load_reported,
    runner_failed,
)
from .logs import log_event
from .peers import gossip_put, to_runner_load
from .timers import TimerHandle, TimerQueue
from .tls import upstream_scheme

# With a probe every 500 ms and a second one right after a failure, a runner that stops answering
# is down within 500 + 700 + 700 = 1,900 ms.
PROBE_TIMEOUT_MS = 700
FAILURES_TO_DOWN = 2
# The loop looks for due probes at their times, but no more often than this.
MIN_TICK_MS = 20
# The first prober passes on every second report and the second one every eighth, because the
# reports of all runners would fill the digests. The second keeps the runner known as live if the
# first dies.
REPORTS_PER_ENTRY = (2, 8)
KV_INTERVAL_MS = 5_000
FIRST_KV_MS = 1_000
KV_TIMEOUT_MS = 2_000
HANDLE_PREFIX = "ir-"


class _Load(msgspec.Struct):
    """Body of `GET /load`; `boot_id` and `seq` are required."""

    boot_id: str
    seq: int
    running: int = 0
    waiting: int = 0
    queued_prefill_tokens: float = 0
    kv_tokens_used: float = 0
    kv_tokens_total: float = 0
    prefill_tokens_per_s: float = 0
    decode_tokens_per_s: float = 0
    state: str = "live"


_LOAD_DECODER = msgspec.json.Decoder(_Load)


@dataclass
class _Runner:
    entry: ListEntry
    next_probe_ms: int
    next_kv_ms: int
    position: int = 0
    answers: int = 0
    in_flight: bool = False
    failures: int = 0
    is_down: bool = False
    is_leaving: bool = False
    reported: tuple[str, int] = ("", -1)


class Probes(BaseComponent):
    """Probe the runners that rendezvous hashing gives to this instance."""

    channel = "probes"

    def __init__(
        self,
        settings: InstanceSettings,
        view: MembershipView,
        clock: Clock,
        timers: TimerQueue,
        seed: int | None = None,
    ) -> None:
        super().__init__()
        self._interval_ms = settings.probe_interval_ms
        self._scheme = upstream_scheme(settings, MemberKind.RUNNER)
        self._view = view
        self._clock = clock
        self._timers = timers
        self._rng = random.Random(seed)
        self._runners: dict[str, _Runner] = {}
        self._calls = CallbackHttpClient("probe_calls", clock).register(self)
        # Computed again after changes of the view only: it hashes each runner with each instance.
        self._is_assigned = False
        self._timer: TimerHandle | None = None

    @property
    def runner_ids(self) -> tuple[str, ...]:
        """Return the runners that this instance probes."""
        return tuple(sorted(self._runners))

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._tick()

    @handler("list_changed", channel="*")
    def _on_list_changed(self, entries: Iterable[ListEntry]) -> None:
        self._is_assigned = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = self._timers.after(MIN_TICK_MS, self._tick)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._is_assigned:
            self._is_assigned = True
            self._assign(now_ms)
        due_ms = now_ms + self._interval_ms
        for runner_id, runner in self._runners.items():
            if not runner.in_flight and now_ms >= runner.next_probe_ms:
                self._probe(runner_id, runner, now_ms)
            if now_ms >= runner.next_kv_ms:
                runner.next_kv_ms = now_ms + KV_INTERVAL_MS
                if not runner.is_down:
                    self._call(runner_id, "GET", "/kv", KV_TIMEOUT_MS, self._delete_expired)
            due_ms = min(due_ms, max(runner.next_probe_ms, now_ms + MIN_TICK_MS))
        self._timer = self._timers.at(due_ms, self._tick)

    def _assign(self, now_ms: int) -> None:
        duties = self._view.probe_assignments(now_ms)
        assigned = {entry.id: (entry, position) for entry, position in duties}
        for runner_id in self._runners.keys() - assigned.keys():
            del self._runners[runner_id]
        for runner_id, (entry, position) in assigned.items():
            known = self._runners.get(runner_id)
            if known is None or known.entry.address != entry.address:
                # Starts spread over the interval, so that probes do not come in bursts.
                start_ms = now_ms + self._rng.randrange(max(1, self._interval_ms // 2))
                # A runner is often taken over from an instance that died holding its memory.
                kv_ms = now_ms + self._rng.randrange(FIRST_KV_MS)
                self._runners[runner_id] = _Runner(entry, start_ms, kv_ms, position)
            else:
                known.entry, known.position = entry, position

    def _probe(self, runner_id: str, runner: _Runner, now_ms: int) -> None:
        runner.in_flight = True
        runner.next_probe_ms = now_ms + self._interval_ms
        self._call(runner_id, "GET", "/load", PROBE_TIMEOUT_MS, self._note_load)

    def _call(
        self,
        runner_id: str,
        method: str,
        path: str,
        timeout_ms: int,
        note: Callable[[str, _Runner, CallResult], None],
    ) -> None:
        """Call a runner; `note` gets the result if this instance still probes the runner."""

        def done(result: CallResult) -> None:
            runner = self._runners.get(runner_id)
            if runner is not None:
                note(runner_id, runner, result)

        url = f"{self._scheme}://{self._runners[runner_id].entry.address}{path}"
        self._calls.send(method, url, b"", timeout_ms, done)

    def _delete_expired(self, runner_id: str, runner: _Runner, result: CallResult) -> None:
        if result.error is not None or result.status != 200:
            return
        for handle in expired_handles(result.body, self._clock.wall_ms()):
            path = f"/kv/{quote(handle, safe='')}"
            self._call(runner_id, "DELETE", path, KV_TIMEOUT_MS, lambda *_: None)

    def _note_load(self, runner_id: str, runner: _Runner, result: CallResult) -> None:
        runner.in_flight = False
        error, status = result.error, result.status
        if error is None and status == 200:
            try:
                self._note_answer(runner_id, runner, _LOAD_DECODER.decode(result.body))
                return
            except (msgspec.DecodeError, UnicodeDecodeError, ValueError, OverflowError) as exc:
                logging.debug("load report of '%s' cannot be read: %s", runner_id, exc)
        refused = error is not None and error.failure is CallFailure.UNREACHABLE
        runner.failures += FAILURES_TO_DOWN if refused else 1
        now_ms = self._clock.now_ms()
        if runner.failures < FAILURES_TO_DOWN:
            self._probe(runner_id, runner, now_ms)
            return
        self._view.observe(runner_id, False, now_ms)
        self.fire(gossip_put(RunnerReport(runner_id, False)), "*")
        if not runner.is_down:
            runner.is_down = True
            reason = error.text if error else f"status {status}"
            log_event(UPSTREAM_DOWN, upstream=runner_id, reason=reason)
            self.fire(runner_failed(runner_id), "*")

    def _note_answer(self, runner_id: str, runner: _Runner, load: _Load) -> None:
        was_down, runner.is_down = runner.is_down, False
        runner.failures = 0
        now_ms = self._clock.now_ms()
        leaving = load.state == "leaving"
        self._view.observe(runner_id, True, now_ms, None, load.boot_id, leaving)
        report = RunnerReport(
            runner_id,
            True,
            leaving,
            load.boot_id,
            load.seq,
            load.running,
            load.waiting,
            round(load.queued_prefill_tokens),
            round(load.kv_tokens_used),
            round(load.kv_tokens_total),
            round(load.prefill_tokens_per_s),
            round(load.decode_tokens_per_s),
        )
        # A departure does not wait for its turn, because the list may show it much later.
        is_news = was_down or leaving != runner.is_leaving
        runner.is_leaving = leaving
        if is_news or runner.answers % REPORTS_PER_ENTRY[runner.position] == 0:
            self.fire(gossip_put(report), "*")
        runner.answers += 1
        # A report that has not changed at the runner is not passed on again.
        if was_down or runner.reported != (load.boot_id, load.seq):
            runner.reported = (load.boot_id, load.seq)
            self.fire(load_reported(to_runner_load(report, now_ms)), "*")


def expired_handles(body: bytes, wall_ms: int) -> list[str]:
    """Return the handles in the answer to `GET /kv` whose expiry has passed.

    Accepts an object by handle, an object with the member `handles`, or a list. Handles that this
    system has not made are left alone.

    >>> expired_handles(b'{"ir-a-1-r-0-500": 10, "ir-a-1-r-1-900": 10, "other-1": 5}', 700)
    ['ir-a-1-r-0-500']
    """
    try:
        content = json.loads(body)
    except ValueError:
        return []
    if isinstance(content, dict) and "handles" in content:
        content = content["handles"]
    names = []
    for item in content if isinstance(content, dict | list) else ():
        names.append(item.get("handle") if isinstance(item, dict) else item)
    expired = []
    for name in names:
        if isinstance(name, str) and name.startswith(HANDLE_PREFIX):
            expiry = name.rpartition("-")[2]
            if expiry.isdigit() and int(expiry) < wall_ms:
                expired.append(name)
    return expired
