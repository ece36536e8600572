"""Simulation of instances, engines and the network between them in virtual time.

Each instance runs its own `Scheduler`, the same code as in the daemon. Load reports and consumption
counters reach it through gossip, with a delay.
"""

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from ibispaddle_core.scheduling import (
    AttemptEnded,
    AttemptSilent,
    CancelAttempt,
    ConfirmSilence,
    Decision,
    Dispatch,
    Event,
    FirstToken,
    FreeMemory,
    LoadReported,
    Outcome,
    PeerConsumption,
    PeerMemoryClaims,
    PeerWaitingPrompts,
    Refuse,
    RequestArrived,
    ReservationAnswered,
    ReservationOutcome,
    ReserveMemory,
    Scheduler,
    Tick,
    TokensRelayed,
    Upstream,
    UpstreamsChanged,
    UpstreamState,
)
from ibispaddle_core.settings.fleet import FleetConfig

from .engine_model import Engine, Job
from .experiment_failures import FailingPeriod, FailureInjector, ResendPolicy
from .workload import Arrival

NETWORK_MS = 1.0
REPORT_INTERVAL_MS = 500.0
REPORT_DELAY_MS = (50.0, 1_000.0)
REPORT_LOSS = 0.02
GOSSIP_INTERVAL_MS = 500.0
GOSSIP_DELAY_MS = (50.0, 600.0)
DETECTION_MS = (200.0, 2_000.0)  # From an engine's crash until an instance detects it.
LIST_DELAY_MS = (200.0, 1_500.0)  # From a change of the list until an instance has read it.


@dataclass
class Record:
    """Measurements of one request."""

    arrival: Arrival
    instance: int
    first_ms: float | None = None
    end_ms: float | None = None
    outcome: str = ""
    dispatches: int = 0
    segments: int = 1
    first_sent_ms: float = 0.0  # When the caller first sent the request.
    copy_number: int = 0
    is_resent: bool = False
    jobs: list[tuple[Engine, str]] = field(default_factory=list)  # Jobs of the last attempt.

    def cancel_jobs(self) -> None:
        """Cancel the jobs of the last attempt that still run."""
        for engine, job_id in self.jobs:
            engine.cancel(job_id)
        self.jobs = []


@dataclass
class FaultPlan:
    """The faults of a run; crashes and departures are pairs of a time and the index of an engine."""

    crashes: list[tuple[float, int]] = field(default_factory=list)
    departures: list[tuple[float, int]] = field(default_factory=list)
    restart_after_ms: float = 10_000.0
    failing_periods: list[FailingPeriod] = field(default_factory=list)
    resends: int = 0
    freezes: list[tuple[float, float, int]] = field(default_factory=list)  # Start, end, engine.
    slowdowns: list[tuple[float, float, int, float]] = field(
        default_factory=list
    )  # Start, end, engine, factor of step time.
    report_delay_ms: tuple[float, float] = REPORT_DELAY_MS


class SimulatedFleet:
    """Simulate several instances that place the arrivals on a set of engines."""

    def __init__(
        self,
        config: FleetConfig,
        seed: int,
        instances: int,
        runners: int,
        arrivals: list[Arrival],
        plan: FaultPlan,
        apply_policy: Callable[[Scheduler], None] | None = None,
    ) -> None:
        self._rng = Random(f"fleet/{seed}")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.now_ms = 0.0
        self.engines = {f"r{n:03}": Engine(f"r{n:03}", self.schedule) for n in range(runners)}
        self._upstreams = {e: Upstream(e, "dc1", ("m",)) for e in self.engines}
        self.schedulers = [
            Scheduler.from_config(config, seed, f"boot-{n}") for n in range(instances)
        ]
        self._report_delay_ms = plan.report_delay_ms
        self._failures = FailureInjector(seed, plan.failing_periods, list(self.engines))
        self._resends = ResendPolicy(seed, plan.resends)
        if apply_policy is not None:
            for scheduler in self.schedulers:
                apply_policy(scheduler)
        self._wakeups: list[float] = [float("inf")] * instances
        self.records: dict[str, Record] = {}
        self._open_requests: set[str] = set()
        self._last_arrival_ms = arrivals[-1].at_ms if arrivals else 0.0
        self._arrivals = iter(arrivals)
        self.decision_s = 0.0
        self.late_dispatches = (
            0  # Dispatches more than two seconds after the engine began to leave.
        )
        self._leaving_since_ms: dict[str, float] = {}
        self._next_arrival()
        for number in range(instances):
            self._update_upstreams(number)
            self.schedule(self._rng.uniform(0, GOSSIP_INTERVAL_MS), lambda n=number: self._send_gossip(n))  # type: ignore[misc]
        for engine in self.engines.values():
            self.schedule(self._rng.uniform(0, REPORT_INTERVAL_MS), lambda e=engine: self._send_load_report(e))  # type: ignore[misc]
        names = list(self.engines)
        for at_ms, index in plan.crashes:
            name = names[index]
            self.schedule(at_ms, lambda e=name: self._crash_engine(e, plan.restart_after_ms))  # type: ignore[misc]
        for from_ms, to_ms, index in plan.freezes:
            self.schedule(from_ms, lambda e=names[index], t=to_ms: self._freeze_engine(e, t))  # type: ignore[misc]
        for from_ms, to_ms, index, factor in plan.slowdowns:
            for at_ms, value in ((from_ms, factor), (to_ms, 1.0)):
                self.schedule(at_ms, lambda e=names[index], f=value: self._set_step_time_factor(e, f))  # type: ignore[misc]
        for at_ms, index in plan.departures:
            self.schedule(at_ms, lambda e=names[index]: self._start_leaving(e))  # type: ignore[misc]

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a virtual time."""
        self._event_count += 1
        heapq.heappush(self._events, (at_ms, self._event_count, action))

    def run(self, drain_ms: float = 400_000.0) -> None:
        """Run until all requests have ended and the last messages have arrived."""
        end_ms = self._last_arrival_ms + drain_ms
        idle_since_ms = None
        while self._events and self.now_ms < end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
            if self._open_requests or self.now_ms < self._last_arrival_ms:
                idle_since_ms = None
            elif idle_since_ms is None:
                idle_since_ms = self.now_ms
            elif self.now_ms > idle_since_ms + 1_000:
                return

    def _next_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self.schedule(arrival.at_ms, lambda: self._arrive(arrival))

    def _arrive(self, arrival: Arrival) -> None:
        self._next_arrival()
        self._send_request(arrival, arrival.at_ms, 0)

    def _send_request(self, arrival: Arrival, first_sent_ms: float, copy_number: int) -> None:
        number = self._rng.randrange(len(self.schedulers))
        name = arrival.request.request_id
        self.records[name] = Record(
            arrival, number, first_sent_ms=first_sent_ms, copy_number=copy_number
        )
        self._open_requests.add(name)
        self._handle(number, RequestArrived(arrival.request))

    def _handle(self, number: int, event: Event) -> None:
        scheduler = self.schedulers[number]
        now_ms = int(self.now_ms)
        started = time.thread_time()
        decisions = scheduler.handle(event, now_ms)
        wakeup = scheduler.next_wakeup_ms(now_ms)
        self.decision_s += time.thread_time() - started
        for decision in decisions:
            self._execute(number, decision)
        if wakeup is not None and wakeup < self._wakeups[number]:
            self._wakeups[number] = wakeup
            self.schedule(max(float(wakeup), self.now_ms + 1), lambda: self._wake(number, wakeup))

    def _wake(self, number: int, wakeup: int) -> None:
        if self._wakeups[number] == wakeup:
            self._wakeups[number] = float("inf")
            self._handle(number, Tick())

    def _execute(self, number: int, decision: Decision) -> None:
        at_ms = self.now_ms + NETWORK_MS
        match decision:
            case Dispatch():
                self._dispatch(number, decision)
            case Refuse(request_id, reason, _, retry_after_ms):
                self._end_request(request_id, f"refused:{reason}")
                self._resend(self.records[request_id], retry_after_ms)
            case CancelAttempt(request_id, upstream_id):
                self.schedule(at_ms, lambda: self._cancel(number, request_id, upstream_id))
            case ConfirmSilence(request_id, upstream_id):
                silent = AttemptSilent(request_id, upstream_id, has_output=False)
                self.schedule(self.now_ms, lambda: self._handle(number, silent))
            case ReserveMemory(request_id, upstream_id, handle, tokens):

                def respond() -> None:
                    granted = self.engines[upstream_id].reserve(handle, tokens)
                    outcome = ReservationOutcome.GRANTED if granted else ReservationOutcome.NO_ROOM
                    event = ReservationAnswered(request_id, upstream_id, handle, outcome)
                    self.schedule(self.now_ms + NETWORK_MS, lambda: self._handle(number, event))

                self.schedule(at_ms, respond)
            case FreeMemory(upstream_id, handle):
                self.schedule(at_ms, lambda: self.engines[upstream_id].free_reservation(handle))

    def _cancel(self, number: int, request_id: str, upstream_id: str) -> None:
        self.records[request_id].cancel_jobs()
        event = AttemptEnded(request_id, upstream_id, Outcome.CANCELLED)
        self.schedule(self.now_ms + NETWORK_MS, lambda: self._handle(number, event))

    def _end_request(self, request_id: str, outcome: str) -> None:
        record = self.records[request_id]
        record.end_ms = self.now_ms
        record.outcome = outcome
        self._open_requests.discard(request_id)

    def _resend(self, record: Record, retry_after_ms: int) -> None:
        resent_arrival = self._resends.resend(
            record.arrival, record.copy_number, retry_after_ms, self.now_ms
        )
        if resent_arrival is not None:
            record.is_resent = True
            self._open_requests.add(resent_arrival.request.request_id)
            self.schedule(
                resent_arrival.at_ms,
                lambda: self._send_request(
                    resent_arrival, record.first_sent_ms, record.copy_number + 1
                ),
            )

    def _dispatch(self, number: int, dispatch: Dispatch) -> None:
        name, upstream_id = dispatch.request_id, dispatch.upstream_id
        record = self.records[name]
        record.dispatches += 1
        if self.now_ms > self._leaving_since_ms.get(upstream_id, float("inf")) + 2_000:
            self.late_dispatches += 1
        engine = self.engines[upstream_id]
        arrival = record.arrival
        ended = [False]

        def send_event(event: Event) -> None:
            self.schedule(self.now_ms + NETWORK_MS, lambda: self._handle(number, event))

        def handle_first_token() -> None:
            if record.first_ms is None:
                record.first_ms = self.now_ms + NETWORK_MS
            send_event(FirstToken(name))

        def handle_completion() -> None:
            self._end_request(name, "completed")
            record.cancel_jobs()
            send_event(TokensRelayed(name, arrival.output_tokens))
            send_event(AttemptEnded(name, upstream_id, Outcome.COMPLETED, True))

        def handle_failure() -> None:
            if not ended[0]:
                ended[0] = True
                record.cancel_jobs()
                relayed = record.first_ms is not None
                send_event(AttemptEnded(name, upstream_id, Outcome.FAILED, relayed))

        job = Job(
            f"{name}.{record.dispatches}",
            arrival.request.neighbour,
            arrival.request.prompt_tokens,
            arrival.output_tokens,
            dispatch.priority,
            arrival.prefix,
            arrival.prefix_tokens,
            on_first_token=handle_first_token,
            on_done=handle_completion,
            on_failed=handle_failure,
        )
        failure = (
            None if dispatch.segments else self._failures.draw_failure(upstream_id, self.now_ms)
        )
        if failure == "rejected":
            send_event(AttemptEnded(name, upstream_id, Outcome.REJECTED))
            return
        if failure == "failed":

            def cancel_and_fail() -> None:
                engine.cancel(job.job_id)
                handle_failure()

            job.on_first_token = cancel_and_fail
        if not dispatch.segments:
            record.jobs = [(engine, job.job_id)]
            self.schedule(self.now_ms + NETWORK_MS, lambda: engine.submit(job, self.now_ms))
            return
        self._dispatch_segments(record, dispatch, job)

    def _dispatch_segments(self, record: Record, dispatch: Dispatch, whole_job: Job) -> None:
        """Prefill each segment on the engine that reserved its memory, then decode on the first one."""
        reserved_engines = []
        for handle in dispatch.segments:
            reserved_engines += [e for e in self.engines.values() if handle in e.handles]
        if len(reserved_engines) != len(dispatch.segments):
            self.schedule(self.now_ms + NETWORK_MS, whole_job.on_failed)
            return
        record.segments = len(reserved_engines)
        remaining = len(reserved_engines)
        jobs: list[tuple[Engine, Job]] = []

        def handle_first_token() -> None:
            nonlocal remaining
            remaining -= 1
            if remaining == 0:
                whole_job.on_first_token()
                jobs[0][0].start_decode(jobs[0][1], self.now_ms)

        segment_tokens = max(1, whole_job.prompt_tokens // len(reserved_engines))
        for number, engine in enumerate(reserved_engines):
            job = replace(
                whole_job,
                job_id=f"{whole_job.job_id}#{number}",
                prompt_tokens=segment_tokens,
                prompt_offset=number * segment_tokens,
                prefix="",
                is_reserved=True,
                decodes=False,
                on_first_token=handle_first_token,
            )
            jobs.append((engine, job))
        record.jobs = [(engine, job.job_id) for engine, job in jobs]
        for engine, job in jobs:
            self.schedule(
                self.now_ms + NETWORK_MS,
                lambda e=engine, j=job: e.submit(j, self.now_ms),  # type: ignore[misc]
            )

    def _send_load_report(self, engine: Engine) -> None:
        self.schedule(self.now_ms + REPORT_INTERVAL_MS, lambda: self._send_load_report(engine))
        if not engine.is_alive or self.now_ms < engine.frozen_until_ms:
            return
        event = LoadReported(engine.load_report(self.now_ms))
        for number in range(len(self.schedulers)):
            if self._rng.random() >= REPORT_LOSS:
                delay_ms = self._rng.uniform(*self._report_delay_ms)
                self.schedule(self.now_ms + delay_ms, lambda n=number: self._handle(n, event))  # type: ignore[misc]

    def _send_gossip(self, number: int) -> None:
        self.schedule(self.now_ms + GOSSIP_INTERVAL_MS, lambda: self._send_gossip(number))
        boot, scheduler = f"boot-{number}", self.schedulers[number]
        consumption = PeerConsumption(boot, scheduler.consumption())
        claims = PeerMemoryClaims(boot, scheduler.memory_claims())
        waits = PeerWaitingPrompts(boot, int(self.now_ms), scheduler.waiting_prompts())
        for peer in range(len(self.schedulers)):
            if peer != number:
                delay_ms = self._rng.uniform(*GOSSIP_DELAY_MS)
                for event in (consumption, claims, waits):
                    self.schedule(
                        self.now_ms + delay_ms,
                        lambda n=peer, e=event: self._handle(n, e),  # type: ignore[misc]
                    )

    def _update_upstreams(self, number: int) -> None:
        self._handle(number, UpstreamsChanged(tuple(self._upstreams.values())))

    def _set_state(self, engine_id: str, state: UpstreamState, delays: tuple[float, float]) -> None:
        self._upstreams[engine_id] = replace(self._upstreams[engine_id], state=state)
        for number in range(len(self.schedulers)):
            delay_ms = self._rng.uniform(*delays)
            self.schedule(self.now_ms + delay_ms, lambda n=number: self._update_upstreams(n))  # type: ignore[misc]

    def _crash_engine(self, engine_id: str, restart_after_ms: float) -> None:
        self.engines[engine_id].crash()
        self._set_state(engine_id, UpstreamState.DOWN, DETECTION_MS)

        def restart() -> None:
            self.engines[engine_id].restart()
            self._set_state(engine_id, UpstreamState.LIVE, LIST_DELAY_MS)

        self.schedule(self.now_ms + restart_after_ms, restart)

    def _freeze_engine(self, engine_id: str, to_ms: float) -> None:
        self.engines[engine_id].frozen_until_ms = to_ms

    def _set_step_time_factor(self, engine_id: str, factor: float) -> None:
        self.engines[engine_id].step_time_factor = factor

    def _start_leaving(self, engine_id: str) -> None:
        self.engines[engine_id].is_leaving = True
        self._leaving_since_ms[engine_id] = self.now_ms
        self._set_state(engine_id, UpstreamState.LEAVING, LIST_DELAY_MS)
