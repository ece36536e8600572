"""Compare placement with hubs to one instance that knows the whole load, by the value of the answers.

    python -m ibispaddle_bench.experiment_hubs --instances 9,87,195,390 --engines 195

Each instance runs its own `Scheduler` with the placement `least_work`. As in the daemon, it reports its work in
flight to a hub and queries the hub before each choice. In the output, `way` is `hub` for this, `one` for a single
instance that handles all requests, and `alone` for instances that know only their own work. The load alternates
every ten seconds between mostly short and mostly long prompts.
"""

import argparse
import heapq
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from ibispaddle_core.hubs import PendingChoices, WorkAggregator
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
    Outcome,
    PeerWork,
    Refuse,
    Request,
    RequestArrived,
    ReservationAnswered,
    ReservationOutcome,
    ReserveMemory,
    RetryPolicy,
    Scheduler,
    Tick,
    Upstream,
    UpstreamsChanged,
)
from ibispaddle_core.settings import FleetConfig

from .pass_engine import PassCosts, PassEngine, Prompt

# One-way delay of a message between an instance and a hub or an engine, lowest and highest.
MESSAGE_MS = (0.7, 1.5)
# Delay for batching updates about completed work, and interval for resending the work in flight.
BATCH_DELAY_MS, RESEND_INTERVAL_MS = 40.0, 600.0
# Interval for refreshing the snapshot of other instances' work while requests wait for an engine.
WAITING_REFRESH_INTERVAL_MS = 50.0
PHASE_MS = 10_000.0
# An attempt without output for this multiple of its time to first token objective is retried elsewhere.
MAX_SILENCE_OBJECTIVES = 2.4
COSTS = PassCosts(slots=5, tokens_per_event=68)


@dataclass(frozen=True)
class RequestClass:
    """A class of requests: rate for 195 engines, sizes, objectives, and the value of timely and late answers."""

    name: str
    rate_per_s: float
    prompt_tokens: int
    output_tokens: int
    ttft_objective_ms: int
    max_gap_objective_ms: int
    time_limit_ms: int
    value: float
    late_value: float
    rate_factors: tuple[float, float]  # Of the two alternating phases.
    size_sigma: float = 0.4  # Standard deviation of the logarithm of the size.


REQUEST_CLASSES = (
    RequestClass("short", 138.0, 4_960, 1_564, 421, 250, 10_513, 1.3, 0.33, (2.4, 0.4)),
    RequestClass("medium", 10.9, 45_000, 952, 1_532, 600, 10_215, 2.9, 0.73, (0.05, 2.8)),
    RequestClass("long", 5.2, 190_000, 748, 3_055, 1_000, 15_275, 18.0, 4.5, (0.05, 2.8), 0.8),
)
REFERENCE_ENGINES = 195


@dataclass(frozen=True)
class Arrival:
    """One request of the workload."""

    at_ms: float
    request_class: RequestClass
    request: Request


def make_arrival(
    request_class: RequestClass, request_id: str, at_ms: float, tokens: int
) -> Arrival:
    """Return an arrival of a class with a prompt of `tokens` tokens."""
    request = Request(
        request_id,
        "w",
        "w",
        "m",
        tokens,
        request_class.output_tokens,
        round(at_ms),
        round(at_ms) + request_class.time_limit_ms,
        retry_policy=RetryPolicy.ANY_TIME,
        ttft_objective_ms=request_class.ttft_objective_ms,
        max_runs=2,
        max_silence_ms=round(MAX_SILENCE_OBJECTIVES * request_class.ttft_objective_ms),
    )
    return Arrival(at_ms, request_class, request)


def generate_workload(seed: int, engines: int, duration_ms: float, load: float) -> list[Arrival]:
    """Return the arrivals of a run, sorted by time."""
    rng = Random(f"hubs/{seed}/{engines}")
    arrivals: list[Arrival] = []
    for request_class in REQUEST_CLASSES:
        at_ms = 0.0
        while True:
            phase = int(at_ms / PHASE_MS) % 2
            per_ms = (
                load
                * request_class.rate_per_s
                * engines
                / REFERENCE_ENGINES
                * request_class.rate_factors[phase]
                / 1000
            )
            at_ms += rng.expovariate(per_ms)
            if at_ms >= duration_ms:
                break
            size_sigma = request_class.size_sigma
            size = rng.lognormvariate(-size_sigma * size_sigma / 2, size_sigma)
            tokens = max(1_000, round(request_class.prompt_tokens * size))
            arrivals.append(
                make_arrival(request_class, f"{request_class.name}-{len(arrivals)}", at_ms, tokens)
            )
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def fleet_config(costs: PassCosts) -> FleetConfig:
    """Return the configuration that the adapter derives for a service with engines of these costs."""
    step_ms = costs.step_ms + costs.step_ms_per_stream * costs.slots
    pass_ms = costs.stride * step_ms
    model = {
        "context_tokens": 100_000_000,
        "engine_kv_tokens": costs.kv_tokens,
        "prefill_tokens_per_s": 1000 * costs.prefill_tokens_per_ms,
        "attention_tokens": round(
            1e6 / (costs.attention_ms_per_million_pairs * costs.prefill_tokens_per_ms)
        ),
        "decode_tokens_per_s": 1000 / step_ms,
        "upstream_slots": costs.slots,
        "pass_ms": pass_ms,
        "harmless_reading_ms": 250 - pass_ms - 25,
        "usual_prompt_tokens": 13_000,
        "max_helpers": 16,
    }
    scheduling = {
        "placement": "least_work",
        "short_prompt_tokens": 12_000,
        "long_prompt_tokens": 60_000,
        "short_memory_reserve": 0.25,
        "max_attempts": 8,
        "first_token_timeout_ms": 2_000,
    }
    document = {"neighbours": {"w": {}}, "models": {"m": model}, "scheduling": scheduling}
    return FleetConfig.from_document(document)


class Simulation:
    """Simulate instances that place a workload on a set of engines."""

    def __init__(
        self, seed: int, instances: int, engines: int, has_hub: bool, costs: PassCosts = COSTS
    ) -> None:
        self._rng = Random(f"simulation/{seed}/{instances}")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.now_ms = 0.0
        self.engines = {f"r{n:03}": PassEngine(costs, self.schedule) for n in range(engines)}
        upstreams = tuple(Upstream(name, "dc", ("m",)) for name in self.engines)
        self.aggregator = WorkAggregator() if has_hub else None
        self._pending_choices = PendingChoices()
        self._prompts: dict[str, tuple[Prompt, str]] = {}
        self._arrivals: dict[str, Arrival] = {}
        self._first_token_ms: dict[str, float] = {}
        self._wakeups = [float("inf")] * instances
        self._is_update_scheduled = [False] * instances
        self._is_refresh_scheduled = [False] * instances
        self.earned_value = self.total_value = 0.0
        self.first_ms: dict[str, float] = {}  # From the arrival to the first token.
        self.end_counts: Counter[str] = Counter()
        config = fleet_config(costs)
        self.schedulers = [
            Scheduler.from_config(config, seed, f"i{number}") for number in range(instances)
        ]
        for scheduler in self.schedulers:
            scheduler.handle(UpstreamsChanged(upstreams), 0)

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a virtual time."""
        self._event_count += 1
        heapq.heappush(self._events, (at_ms, self._event_count, action))

    def _schedule_message(self, action: Callable[[], None]) -> None:
        self.schedule(self.now_ms + self._rng.uniform(*MESSAGE_MS), action)

    def run(self, arrivals: list[Arrival]) -> dict[str, object]:
        """Simulate all arrivals and return the fraction of their value that was earned."""
        for arrival in arrivals:
            self._arrivals[arrival.request.request_id] = arrival
            self.total_value += arrival.request_class.value
            number = self._rng.randrange(len(self.schedulers))
            self.schedule(arrival.at_ms, partial(self._arrive, number, arrival.request))
        while self._events:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return {
            "worth": self.earned_value / self.total_value,
            "ends": dict(sorted(self.end_counts.items())),
        }

    # Instances

    def _arrive(self, number: int, request: Request) -> None:
        self._query_hub(number, lambda: self._handle_event(number, RequestArrived(request)))

    def _query_hub(self, number: int, continuation: Callable[[], None]) -> None:
        """Run `continuation` after receiving a snapshot of the other instances' work."""
        if self.aggregator is None:
            continuation()
            return

        def respond() -> None:
            assert self.aggregator is not None
            name, now_ms = f"i{number}", int(self.now_ms)
            snapshot = replace(
                self.aggregator.total_excluding(name, now_ms),
                choice_rank=self._pending_choices.begin_choice(name, "m", now_ms),
            )

            def apply_snapshot() -> None:
                self.schedulers[number].handle(snapshot, int(self.now_ms))
                continuation()

            self._schedule_message(apply_snapshot)

        self._schedule_message(respond)

    def _handle_event(self, number: int, event: Event) -> None:
        scheduler = self.schedulers[number]
        for decision in scheduler.handle(event, int(self.now_ms)):
            self._execute(number, decision)
        if scheduler.is_waiting and not self._is_refresh_scheduled[number]:
            self._is_refresh_scheduled[number] = True
            self.schedule(
                self.now_ms + WAITING_REFRESH_INTERVAL_MS, lambda: self._refresh_snapshot(number)
            )
        due_ms = scheduler.next_wakeup_ms(int(self.now_ms))
        if due_ms is not None and due_ms < self._wakeups[number]:
            self._wakeups[number] = due_ms
            self.schedule(max(due_ms, self.now_ms), lambda: self._wake(number))

    def _wake(self, number: int) -> None:
        self._wakeups[number] = float("inf")
        self._handle_event(number, Tick())

    def _refresh_snapshot(self, number: int) -> None:
        """Refresh the snapshot of other instances' work if requests are still waiting."""
        self._is_refresh_scheduled[number] = False
        if self.schedulers[number].is_waiting:
            self._query_hub(number, lambda: self._schedule_waiting(number))

    def _schedule_waiting(self, number: int) -> None:
        self.schedulers[number].try_waiting_at_next_event()
        self._handle_event(number, Tick())

    def _update_hub(self, number: int, delay_ms: float = 0.0) -> None:
        if self.aggregator is None or (delay_ms and self._is_update_scheduled[number]):
            return
        self._is_update_scheduled[number] = bool(delay_ms)

        def send_update() -> None:
            assert self.aggregator is not None
            self._is_update_scheduled[number] = False
            aggregator = self.aggregator
            work = self.schedulers[number].own_work(f"i{number}", int(self.now_ms))
            self._schedule_message(lambda: self._apply_update(aggregator, work))
            if work.work:
                self._update_hub(number, RESEND_INTERVAL_MS)

        self.schedule(self.now_ms + delay_ms, send_update)

    def _apply_update(self, aggregator: WorkAggregator, work: PeerWork) -> None:
        aggregator.update(work, int(self.now_ms))
        self._pending_choices.end_choice(work.instance)

    def _execute(self, number: int, decision: Decision) -> None:
        match decision:
            case Dispatch(request_id, upstream_id):
                self._dispatch(number, decision)
                self._update_hub(number)
            case Refuse(request_id, reason):
                self.end_counts[f"{self._arrivals[request_id].request_class.name} {reason}"] += 1
            case CancelAttempt(request_id, upstream_id):
                prompt, _ = self._prompts.pop(request_id)
                prompt.is_cancelled = True
                ended = AttemptEnded(request_id, upstream_id, Outcome.STALLED)
                self.schedule(self.now_ms, lambda: self._handle_event(number, ended))
            case ConfirmSilence(request_id, upstream_id):
                silent = AttemptSilent(request_id, upstream_id, has_output=False)
                self.schedule(self.now_ms, lambda: self._handle_event(number, silent))
            case ReserveMemory(request_id, upstream_id, handle):
                granted = ReservationAnswered(
                    request_id, upstream_id, handle, ReservationOutcome.GRANTED
                )
                self._update_hub(number)
                self._schedule_message(
                    lambda: self._schedule_message(lambda: self._handle_event(number, granted))
                )
            case FreeMemory():
                self._update_hub(number, BATCH_DELAY_MS)

    def _dispatch(self, number: int, decision: Dispatch) -> None:
        request_id, upstream_id = decision.request_id, decision.upstream_id
        arrival = self._arrivals[request_id]
        names = decision.helper_ids or tuple(
            n for n in decision.segment_upstream_ids if n != upstream_id
        )
        helpers = [self.engines[name] for name in names]

        def handle_first_token(at_ms: float) -> None:
            self._first_token_ms.setdefault(request_id, at_ms + MESSAGE_MS[1])
            self._schedule_message(lambda: self._report_first(number, request_id))

        def handle_completion(at_ms: float, gap_ms: float) -> None:
            self._schedule_message(lambda: self._end_request(number, arrival, upstream_id, gap_ms))

        tokens, output = arrival.request.prompt_tokens, arrival.request_class.output_tokens
        prompt = Prompt(tokens, output, handle_first_token, handle_completion, decision.priority)
        self._prompts[request_id] = (prompt, upstream_id)
        self._schedule_message(
            lambda: self.engines[upstream_id].submit(self.now_ms, prompt, helpers)
        )

    def _report_first(self, number: int, request_id: str) -> None:
        self._handle_event(number, FirstToken(request_id))
        self._update_hub(number, BATCH_DELAY_MS)

    def _end_request(self, number: int, arrival: Arrival, upstream_id: str, gap_ms: float) -> None:
        request_id, request_class = arrival.request.request_id, arrival.request_class
        self._prompts.pop(request_id, None)
        self._handle_event(number, AttemptEnded(request_id, upstream_id, Outcome.COMPLETED, True))
        self._update_hub(number, BATCH_DELAY_MS)
        first_ms = self.first_ms[request_id] = self._first_token_ms[request_id] - arrival.at_ms
        if self.now_ms - arrival.at_ms > request_class.time_limit_ms:
            self.end_counts[f"{request_class.name} over time"] += 1
        elif (
            first_ms <= request_class.ttft_objective_ms
            and gap_ms <= request_class.max_gap_objective_ms
        ):
            self.earned_value += request_class.value
            self.end_counts[f"{request_class.name} in aim"] += 1
        else:
            self.earned_value += request_class.late_value
            cause = "late first" if first_ms > request_class.ttft_objective_ms else "pause"
            self.end_counts[f"{request_class.name} {cause}"] += 1


def main() -> int:
    """Print one JSON line per mode and number of instances."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", default="9,87,195,390")
    parser.add_argument("--engines", type=int, default=195)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--load", type=float, default=1.0, help="factor applied to all rates")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    arrivals = generate_workload(args.seed, args.engines, 1000 * args.seconds, args.load)
    modes = [("one", 1, False)]
    for size in map(int, args.instances.split(",")):
        modes += [("hub", size, True), ("alone", size, False)]
    for mode, instances, has_hub in modes:
        result = Simulation(args.seed, instances, args.engines, has_hub).run(arrivals)
        print(json.dumps({"way": mode, "instances": instances, **result}), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
