"""Worth lost by placement through hubs, against one instance that knows everything.

    python -m ibispaddle_bench.experiment_hubs --instances 9,87,195,390 --engines 195

Each instance runs its own `Scheduler` with the placement `least_work`, tells a hub what it has in flight and asks it
before each choice, as the daemon does. `one` is a single instance with all requests; `alone` are instances
that know only their own work. The mix swings every ten seconds between short and long prompts.
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
    CancelAttempt,
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
    ReserveMemory,
    RetryPolicy,
    Scheduler,
    Tick,
    Upstream,
    UpstreamsChanged,
)
from ibispaddle_core.settings import FleetConfig

from .pass_engine import PassCosts, PassEngine, Prompt

# One way between an instance and a hub, or an engine.
MESSAGE_MS = (0.7, 1.5)
# Time within which an instance tells of work that has ended, and repeats what it has in flight.
GATHER_MS, REPEAT_MS = 40.0, 600.0
# Interval at which the picture is renewed while requests wait for an engine.
WAITING_MS = 50.0
SWING_MS = 10_000.0
# Silence, in times to the first token, after which a caller's request is sent elsewhere.
PATIENCE_OBJECTIVES = 2.4
COSTS = PassCosts(slots=5, event_tokens=68)


@dataclass(frozen=True)
class Kind:
    """A kind of request: rate for 195 engines, sizes, aims and worth in time and late."""

    name: str
    per_s: float
    prompt_tokens: int
    output_tokens: int
    first_aim_ms: int
    pause_aim_ms: int
    limit_ms: int
    worth: float
    late_worth: float
    swing: tuple[float, float]  # Factors of the rate in the two halves of a swing.
    spread: float = 0.4  # Standard deviation of the logarithm of the size.


KINDS = (
    Kind("short", 138.0, 4_960, 1_564, 421, 250, 10_513, 1.3, 0.33, (2.4, 0.4)),
    Kind("medium", 10.9, 45_000, 952, 1_532, 600, 10_215, 2.9, 0.73, (0.05, 2.8)),
    Kind("long", 5.2, 190_000, 748, 3_055, 1_000, 15_275, 18.0, 4.5, (0.05, 2.8), 0.8),
)
ENGINES_OF_RATES = 195


@dataclass(frozen=True)
class Arrival:
    """One request of the workload."""

    at_ms: float
    kind: Kind
    request: Request


def arrival_of(kind: Kind, request_id: str, at_ms: float, tokens: int) -> Arrival:
    """Return a request of a kind with a prompt of so many tokens."""
    request = Request(
        request_id,
        "w",
        "w",
        "m",
        tokens,
        kind.output_tokens,
        round(at_ms),
        round(at_ms) + kind.limit_ms,
        retry_policy=RetryPolicy.ANY_TIME,
        ttft_objective_ms=kind.first_aim_ms,
        max_runs=2,
        max_silence_ms=round(PATIENCE_OBJECTIVES * kind.first_aim_ms),
    )
    return Arrival(at_ms, kind, request)


def workload(seed: int, engines: int, duration_ms: float, load: float) -> list[Arrival]:
    """Return the requests of a run, sorted by time."""
    rng = Random(f"hubs/{seed}/{engines}")
    found: list[Arrival] = []
    for kind in KINDS:
        at_ms = 0.0
        while True:
            half = int(at_ms / SWING_MS) % 2
            per_ms = load * kind.per_s * engines / ENGINES_OF_RATES * kind.swing[half] / 1000
            at_ms += rng.expovariate(per_ms)
            if at_ms >= duration_ms:
                break
            spread = kind.spread
            size = rng.lognormvariate(-spread * spread / 2, spread)
            tokens = max(1_000, round(kind.prompt_tokens * size))
            found.append(arrival_of(kind, f"{kind.name}-{len(found)}", at_ms, tokens))
    return sorted(found, key=lambda arrival: arrival.at_ms)


def fleet_config(costs: PassCosts) -> FleetConfig:
    """Return what the adapter makes of a service with engines of these costs."""
    step_ms = costs.step_ms + costs.per_stream_ms * costs.slots
    pass_ms = costs.stride * step_ms
    model = {
        "context_tokens": 100_000_000,
        "engine_kv_tokens": costs.kv_tokens,
        "prefill_tokens_per_s": 1000 * costs.read_per_ms,
        "attention_tokens": round(1e6 / (costs.pairs_per_m * costs.read_per_ms)),
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
    """Play a workload through some instances before a set of engines."""

    def __init__(
        self, seed: int, instances: int, engines: int, has_hub: bool, costs: PassCosts = COSTS
    ) -> None:
        self._rng = Random(f"simulation/{seed}/{instances}")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.now_ms = 0.0
        self.engines = {f"r{n:03}": PassEngine(costs, self.at) for n in range(engines)}
        upstreams = tuple(Upstream(name, "dc", ("m",)) for name in self.engines)
        self.board = WorkAggregator() if has_hub else None
        self._turns = PendingChoices()
        self._prompts: dict[str, tuple[Prompt, str]] = {}
        self._kinds: dict[str, Arrival] = {}
        self._first: dict[str, float] = {}
        self._wakeups = [float("inf")] * instances
        self._telling = [False] * instances
        self._reviewing = [False] * instances
        self.earned = self.owed = 0.0
        self.first_ms: dict[str, float] = {}  # From the arrival to the first token.
        self.ends: Counter[str] = Counter()
        config = fleet_config(costs)
        self.schedulers = [
            Scheduler.from_config(config, seed, f"i{number}") for number in range(instances)
        ]
        for scheduler in self.schedulers:
            scheduler.handle(UpstreamsChanged(upstreams), 0)

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Call back at a time."""
        self._count += 1
        heapq.heappush(self._events, (at_ms, self._count, action))

    def _later(self, action: Callable[[], None]) -> None:
        self.at(self.now_ms + self._rng.uniform(*MESSAGE_MS), action)

    def run(self, arrivals: list[Arrival]) -> dict[str, object]:
        """Play all arrivals and return what was earned."""
        for arrival in arrivals:
            self._kinds[arrival.request.request_id] = arrival
            self.owed += arrival.kind.worth
            number = self._rng.randrange(len(self.schedulers))
            self.at(arrival.at_ms, partial(self._arrive, number, arrival.request))
        while self._events:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return {"worth": self.earned / self.owed, "ends": dict(sorted(self.ends.items()))}

    # Instances

    def _arrive(self, number: int, request: Request) -> None:
        self._ask(number, lambda: self._tell(number, RequestArrived(request)))

    def _ask(self, number: int, then: Callable[[], None]) -> None:
        """Go on when the picture of the others' work has come."""
        if self.board is None:
            then()
            return

        def answer() -> None:
            assert self.board is not None
            name, now_ms = f"i{number}", int(self.now_ms)
            picture = replace(
                self.board.total_excluding(name, now_ms),
                choice_rank=self._turns.begin_choice(name, "m", now_ms),
            )

            def take() -> None:
                self.schedulers[number].handle(picture, int(self.now_ms))
                then()

            self._later(take)

        self._later(answer)

    def _tell(self, number: int, event: Event) -> None:
        scheduler = self.schedulers[number]
        for decision in scheduler.handle(event, int(self.now_ms)):
            self._carry_out(number, decision)
        if scheduler.is_waiting and not self._reviewing[number]:
            self._reviewing[number] = True
            self.at(self.now_ms + WAITING_MS, lambda: self._review(number))
        due_ms = scheduler.next_wakeup_ms(int(self.now_ms))
        if due_ms is not None and due_ms < self._wakeups[number]:
            self._wakeups[number] = due_ms
            self.at(max(due_ms, self.now_ms), lambda: self._wake(number))

    def _wake(self, number: int) -> None:
        self._wakeups[number] = float("inf")
        self._tell(number, Tick())

    def _review(self, number: int) -> None:
        """Renew the picture while requests wait."""
        self._reviewing[number] = False
        if self.schedulers[number].is_waiting:
            self._ask(number, lambda: self._look_again(number))

    def _look_again(self, number: int) -> None:
        self.schedulers[number].try_waiting_at_next_event()
        self._tell(number, Tick())

    def _tell_hub(self, number: int, delay_ms: float = 0.0) -> None:
        if self.board is None or (delay_ms and self._telling[number]):
            return
        self._telling[number] = bool(delay_ms)

        def tell() -> None:
            assert self.board is not None
            self._telling[number] = False
            board = self.board
            work = self.schedulers[number].own_work(f"i{number}", int(self.now_ms))
            self._later(lambda: self._take_told(board, work))
            if work.work:
                self._tell_hub(number, REPEAT_MS)

        self.at(self.now_ms + delay_ms, tell)

    def _take_told(self, board: WorkAggregator, work: PeerWork) -> None:
        board.update(work, int(self.now_ms))
        self._turns.end_choice(work.instance)

    def _carry_out(self, number: int, decision: Decision) -> None:
        match decision:
            case Dispatch(request_id, upstream_id):
                self._dispatch(number, decision)
                self._tell_hub(number)
            case Refuse(request_id, reason):
                self.ends[f"{self._kinds[request_id].kind.name} {reason}"] += 1
            case CancelAttempt(request_id, upstream_id):
                prompt, _ = self._prompts.pop(request_id)
                prompt.is_cancelled = True
                ended = AttemptEnded(request_id, upstream_id, Outcome.STALLED)
                self.at(self.now_ms, lambda: self._tell(number, ended))
            case ReserveMemory(request_id, upstream_id, handle):
                granted = ReservationAnswered(request_id, upstream_id, handle, True)
                self._tell_hub(number)
                self._later(lambda: self._later(lambda: self._tell(number, granted)))
            case FreeMemory():
                self._tell_hub(number, GATHER_MS)

    def _dispatch(self, number: int, decision: Dispatch) -> None:
        request_id, upstream_id = decision.request_id, decision.upstream_id
        arrival = self._kinds[request_id]
        names = decision.helper_ids or tuple(
            n for n in decision.segment_upstream_ids if n != upstream_id
        )
        helpers = [self.engines[name] for name in names]

        def first(at_ms: float) -> None:
            self._first.setdefault(request_id, at_ms + MESSAGE_MS[1])
            self._later(lambda: self._report_first(number, request_id))

        def done(at_ms: float, pause_ms: float) -> None:
            self._later(lambda: self._end(number, arrival, upstream_id, pause_ms))

        tokens, output = arrival.request.prompt_tokens, arrival.kind.output_tokens
        prompt = Prompt(tokens, output, first, done, decision.priority)
        self._prompts[request_id] = (prompt, upstream_id)
        self._later(lambda: self.engines[upstream_id].submit(self.now_ms, prompt, helpers))

    def _report_first(self, number: int, request_id: str) -> None:
        self._tell(number, FirstToken(request_id))
        self._tell_hub(number, GATHER_MS)

    def _end(self, number: int, arrival: Arrival, upstream_id: str, pause_ms: float) -> None:
        request_id, kind = arrival.request.request_id, arrival.kind
        self._prompts.pop(request_id, None)
        self._tell(number, AttemptEnded(request_id, upstream_id, Outcome.COMPLETED, True))
        self._tell_hub(number, GATHER_MS)
        first_ms = self.first_ms[request_id] = self._first[request_id] - arrival.at_ms
        if self.now_ms - arrival.at_ms > kind.limit_ms:
            self.ends[f"{kind.name} over time"] += 1
        elif first_ms <= kind.first_aim_ms and pause_ms <= kind.pause_aim_ms:
            self.earned += kind.worth
            self.ends[f"{kind.name} in aim"] += 1
        else:
            self.earned += kind.late_worth
            cause = "late first" if first_ms > kind.first_aim_ms else "pause"
            self.ends[f"{kind.name} {cause}"] += 1


def main() -> int:
    """Print one JSON line per size and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", default="9,87,195,390")
    parser.add_argument("--engines", type=int, default=195)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--load", type=float, default=1.0, help="factor of all rates")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    arrivals = workload(args.seed, args.engines, 1000 * args.seconds, args.load)
    ways = [("one", 1, False)]
    for size in map(int, args.instances.split(",")):
        ways += [("hub", size, True), ("alone", size, False)]
    for way, instances, has_hub in ways:
        result = Simulation(args.seed, instances, args.engines, has_hub).run(arrivals)
        print(json.dumps({"way": way, "instances": instances, **result}), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
