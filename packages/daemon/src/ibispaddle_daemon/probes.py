"""Probes of the runners assigned to this instance: load, failures and expired KV handles."""

import json
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
from absl import logging
from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.gossip import RunnerReport
from ibispaddle_core.logevents import UPSTREAM_DOWN
from ibispaddle_core.membership import ListEntry, MemberKind, MembershipView
from ibispaddle_core.scheduling import HANDLE_PREFIX
from ibispaddle_core.settings import InstanceSettings

from .calls import MAX_STATUS_BYTES, CallbackHttpClient, CallResult
from .events import (
    CallFailure,
    load_reported,
    runner_failed,
)
from .logs import log_event
from .peers import gossip_put, to_runner_load
from .timers import TimerHandle, TimerQueue
from .tls import upstream_scheme

# With a probe interval of 500 ms and a second probe right after a failure, an unresponsive runner
# is marked as down within 500 + 700 + 700 = 1,900 ms.
PROBE_TIMEOUT_MS = 700
DOWN_AFTER_FAILURES = 2
# Minimum interval between checks for due probes.
MIN_TICK_INTERVAL_MS = 20
# Each runner has two probers. The first one gossips every second load report and the second one
# every eighth, because the reports of all runners would fill the gossip digests. The reports of the
# second prober keep the runner live in the view of other instances if the first prober fails.
PROBES_PER_GOSSIP_REPORT = (2, 8)
KV_CLEANUP_INTERVAL_MS = 5_000
FIRST_KV_CLEANUP_MAX_DELAY_MS = 1_000
KV_TIMEOUT_MS = 2_000
# Maximum size of the list of an engine's handles, which has about a hundred bytes for each.
MAX_HANDLES_BYTES = 1_048_576


class _Load(msgspec.Struct):
    """Response body of `GET /load`; `boot_id` and `seq` are required."""

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
    next_kv_cleanup_ms: int
    prober_rank: int = 0
    answer_count: int = 0
    in_flight: bool = False
    failures: int = 0
    is_down: bool = False
    is_leaving: bool = False
    last_report: tuple[str, int] = ("", -1)


class Probes(BaseComponent):
    """Probe the runners that rendezvous hashing assigns to this instance."""

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
        # Assignments are recomputed only after the instance list has changed, because each runner
        # is hashed with each instance.
        self._is_assignment_current = False
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
        self._is_assignment_current = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = self._timers.after(MIN_TICK_INTERVAL_MS, self._tick)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._is_assignment_current:
            self._is_assignment_current = True
            self._assign(now_ms)
        due_ms = now_ms + self._interval_ms
        for runner_id, runner in self._runners.items():
            if not runner.in_flight and now_ms >= runner.next_probe_ms:
                self._probe(runner_id, runner, now_ms)
            if now_ms >= runner.next_kv_cleanup_ms:
                runner.next_kv_cleanup_ms = now_ms + KV_CLEANUP_INTERVAL_MS
                if not runner.is_down:
                    self._call(
                        runner_id,
                        "GET",
                        "/kv",
                        KV_TIMEOUT_MS,
                        self._delete_expired_handles,
                        MAX_HANDLES_BYTES,
                    )
            due_ms = min(due_ms, max(runner.next_probe_ms, now_ms + MIN_TICK_INTERVAL_MS))
        self._timer = self._timers.at(due_ms, self._tick)

    def _assign(self, now_ms: int) -> None:
        assignments = self._view.probe_assignments(now_ms)
        assigned = {entry.id: (entry, prober_rank) for entry, prober_rank in assignments}
        for runner_id in self._runners.keys() - assigned.keys():
            del self._runners[runner_id]
        for runner_id, (entry, prober_rank) in assigned.items():
            known = self._runners.get(runner_id)
            if known is None or known.entry.address != entry.address:
                # First probes are spread over half the interval to avoid bursts.
                first_probe_ms = now_ms + self._rng.randrange(max(1, self._interval_ms // 2))
                # The first cleanup is soon, because the previous prober may have crashed with
                # memory reserved.
                kv_cleanup_ms = now_ms + self._rng.randrange(FIRST_KV_CLEANUP_MAX_DELAY_MS)
                self._runners[runner_id] = _Runner(
                    entry, first_probe_ms, kv_cleanup_ms, prober_rank
                )
            else:
                known.entry, known.prober_rank = entry, prober_rank

    def _probe(self, runner_id: str, runner: _Runner, now_ms: int) -> None:
        runner.in_flight = True
        runner.next_probe_ms = now_ms + self._interval_ms
        # A load report states its engine, boot and sequence number.
        self._call(
            runner_id,
            "GET",
            "/load",
            PROBE_TIMEOUT_MS,
            self._handle_load_result,
            may_reuse_connection=True,
        )

    def _call(
        self,
        runner_id: str,
        method: str,
        path: str,
        timeout_ms: int,
        handle_result: Callable[[str, _Runner, CallResult], None],
        max_body_bytes: int = MAX_STATUS_BYTES,
        may_reuse_connection: bool = False,
    ) -> None:
        """Call a runner; its result is ignored if this instance no longer probes the runner."""

        def on_result(result: CallResult) -> None:
            runner = self._runners.get(runner_id)
            if runner is not None:
                handle_result(runner_id, runner, result)

        url = f"{self._scheme}://{self._runners[runner_id].entry.address}{path}"
        self._calls.send(
            method, url, b"", timeout_ms, on_result, max_body_bytes, may_reuse_connection
        )

    def _delete_expired_handles(self, runner_id: str, runner: _Runner, result: CallResult) -> None:
        if result.error is not None or result.status != 200:
            return
        for handle in expired_handles(result.body, self._clock.wall_ms()):
            path = f"/kv/{quote(handle, safe='')}"
            self._call(runner_id, "DELETE", path, KV_TIMEOUT_MS, lambda *_: None)

    def _handle_load_result(self, runner_id: str, runner: _Runner, result: CallResult) -> None:
        runner.in_flight = False
        error, status = result.error, result.status
        if error is None and status == 200:
            try:
                self._handle_load(runner_id, runner, _LOAD_DECODER.decode(result.body))
                return
            except (*DECODE_ERRORS, ValueError, OverflowError) as exc:
                logging.debug("invalid load report of '%s': %s", runner_id, exc)
        refused = error is not None and error.failure is CallFailure.UNREACHABLE
        runner.failures += DOWN_AFTER_FAILURES if refused else 1
        now_ms = self._clock.now_ms()
        if runner.failures < DOWN_AFTER_FAILURES:
            self._probe(runner_id, runner, now_ms)
            return
        self._view.observe(runner_id, False, now_ms)
        self.fire(gossip_put(RunnerReport(runner_id, False)), "*")
        if not runner.is_down:
            runner.is_down = True
            reason = error.text if error else f"the runner responded with status {status}"
            log_event(UPSTREAM_DOWN, upstream=runner_id, reason=reason)
            self.fire(runner_failed(runner_id), "*")

    def _handle_load(self, runner_id: str, runner: _Runner, load: _Load) -> None:
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
        # A changed state is gossiped immediately, because the instance list may show it much later.
        is_state_change = was_down or leaving != runner.is_leaving
        runner.is_leaving = leaving
        if (
            is_state_change
            or runner.answer_count % PROBES_PER_GOSSIP_REPORT[runner.prober_rank] == 0
        ):
            self.fire(gossip_put(report), "*")
        runner.answer_count += 1
        # A report that the runner has not updated since the last probe is not fired again.
        if was_down or runner.last_report != (load.boot_id, load.seq):
            runner.last_report = (load.boot_id, load.seq)
            self.fire(load_reported(to_runner_load(report, now_ms)), "*")


def expired_handles(body: bytes, wall_ms: int) -> list[str]:
    """Return the handles in the response to `GET /kv` whose expiry has passed.

    The response is an object with handles as keys, an object with the member `handles`, or a list.
    Handles that were not created by this system are ignored.

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
