"""Events that the scheduler processes and decisions that it returns.

All times are monotonic milliseconds of the instance unless the name says `wall`.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from ..runstate import RunState
from ..settings.fleet import FleetConfig


class UpstreamState(StrEnum):
    """State of an upstream, which determines whether it gets work."""

    LIVE = "live"
    LEAVING = "leaving"  # Finishes its requests and gets no new work.
    DOWN = "down"


class Outcome(StrEnum):
    """Outcome of an attempt."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # The upstream refused and proved that nothing ran.
    WRONG_UPSTREAM = "absent"  # Another upstream answers at the address; nothing ran.
    NOT_SENT = "not_sent"  # No byte reached the upstream.
    FAILED = "failed"  # The connection broke or the upstream failed after bytes were sent.
    ERROR = "error"  # The upstream answered completely, with an error of its own.
    STALLED = "stalled"
    CANCELLED = "cancelled"


class RetryPolicy(StrEnum):
    """Condition on which a failed attempt may be retried."""

    PROVED_NOT_RUN = "proved_not_run"  # Only if the upstream proved that nothing ran.
    BEFORE_OUTPUT = "before_output"  # Until part of the answer has reached the caller.
    ANY_TIME = "any_time"  # The retry resumes after the output that the caller has received.


class RefusalReason(StrEnum):
    """Reason for which the scheduler refuses a request."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue_full"
    NO_UPSTREAM = "no_upstream"
    NO_UPSTREAM_IN_HOME = "no_upstream_in_home"
    TOO_LARGE = "too_large"
    UPSTREAM_FAILED = "upstream_failed"
    CANCELLED = "cancelled"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    EVACUATED = "evacuated"
    NO_MEMORY = "no_memory"  # No group of engines had the memory in time.
    MEMORY_INVALID = "memory_invalid"  # Engines can never reserve the memory.


class ReservationOutcome(StrEnum):
    """A runner's answer to a reservation of memory."""

    GRANTED = "granted"
    NO_ROOM = "no_room"  # The memory is not free now.
    INVALID = "invalid"  # The runner can never grant the reservation.
    WRONG_UPSTREAM = "wrong_upstream"  # Another upstream answers at the address.
    ANSWER_LOST = "answer_lost"  # The connection broke; the memory may be reserved.
    UNREACHABLE = (
        "unreachable"  # No connection, no answer in time, or an error; it may be reserved.
    )
    NOT_SENT = "not_sent"  # The reservation did not leave this instance.


class HedgeLimit(StrEnum):
    """Limit that rules out a hedge."""

    FRACTION = "fraction"  # The operator's limit of extra attempts.
    RETRY_BUDGET = "retry_budget"
    RUNS = "runs"  # The route's attempts.
    DEADLINE = "deadline"  # A new attempt would end too late.
    OVERLOAD = "overload"
    NO_UPSTREAM = "no_upstream"  # No sound upstream without a limit has room.
    DRAINING = "draining"
    SUSPECTED = "suspected"  # Upstreams may crash because of the request.


@dataclass(frozen=True)
class Request:
    """Describe a validated request for a model."""

    request_id: str
    workspace: str
    neighbour: str
    model: str
    prompt_tokens: int
    max_output_tokens: int
    arrived_ms: int
    deadline_ms: int
    fingerprint: str = ""
    parts: tuple[str, ...] = ()  # Hashes of the parts that other requests may have as well.
    prefix_hashes: tuple[str, ...] = ()  # One hash per block of the prompt, longest prefix last.
    retry_policy: RetryPolicy = RetryPolicy.BEFORE_OUTPUT
    ttft_objective_ms: int | None = None  # Time to first token above which the answer is late.
    max_runs: int | None = None  # Upstreams that may run it; None means the configured attempts.
    # Time from arrival for which the caller waits without output while an engine is busy.
    max_silence_ms: int = 0
    # Time from the arrival after which the caller leaves without output; None: it waits until its deadline.
    patience_ms: int | None = None
    streams: bool = True  # Otherwise the first output is the complete response.
    # Data centres whose upstreams may run it; None means all.
    data_centres: frozenset[str] | None = None
    may_hedge: bool = False  # Whether the executor of the decisions can run two attempts at once.

    @property
    def no_upstream_reason(self) -> RefusalReason:
        """Return the reason of a refusal because no upstream may run the request."""
        if self.data_centres is None:
            return RefusalReason.NO_UPSTREAM
        return RefusalReason.NO_UPSTREAM_IN_HOME

    @property
    def start_deadline_ms(self) -> int:
        """Return the time until which the caller waits for the first output."""
        if self.patience_ms is None:
            return self.deadline_ms
        return min(self.deadline_ms, self.arrived_ms + self.patience_ms)


@dataclass(frozen=True)
class RunnerLoad:
    """Report the load of one runner."""

    upstream_id: str
    boot_id: str
    seq: int
    observed_ms: int
    running: int
    waiting: int
    queued_prefill_tokens: int
    kv_tokens_used: int
    kv_tokens_total: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


@dataclass(frozen=True)
class Upstream:
    """Describe a runner and the models that it serves."""

    upstream_id: str
    data_centre: str
    models: tuple[str, ...]
    state: UpstreamState = UpstreamState.LIVE
    boot_ms: int | None = None  # Unix time of its start, if known.
    # End of its cold time; in the past if it is warm, None if the list does not state it.
    cold_until_ms: int | None = None


@dataclass(frozen=True)
class RequestArrived:
    """Report a new request."""

    request: Request


@dataclass(frozen=True)
class LoadReported:
    """Deliver a runner's load report."""

    load: RunnerLoad


@dataclass(frozen=True)
class UpstreamsChanged:
    """Replace the set of known runners."""

    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True)
class EvacuationsChanged:
    """Replace the set of evacuated data centres, whose upstreams get no new work."""

    data_centres: frozenset[str]


@dataclass(frozen=True)
class FirstToken:
    """Report the first token of an attempt, of the request's only one if it names no upstream."""

    request_id: str
    upstream_id: str | None = None


@dataclass(frozen=True)
class TokensRelayed:
    """Report generated tokens since the last report of the request."""

    request_id: str
    tokens: int


@dataclass(frozen=True)
class AttemptEnded:
    """Report the end of an attempt.

    `has_relayed_output` is true when part of the answer reached the caller, which rules out a retry
    unless the request can resume after it. `faulty_upstream_id` is the upstream that caused the
    failure if it is not the one that answered.
    """

    request_id: str
    upstream_id: str
    outcome: Outcome
    has_relayed_output: bool = False
    faulty_upstream_id: str | None = None


@dataclass(frozen=True)
class AttemptSilent:
    """Report that an attempt has had no output for so long that another upstream may do better.

    `has_output` is true if there was output before. The attempt counts of the other instances must be
    recent, because a retry is counted.
    """

    request_id: str
    upstream_id: str
    has_output: bool


@dataclass(frozen=True)
class AttemptDelayed:
    """Report that an attempt is still without output after the delay of a hedge.

    The attempt counts of the other instances must be recent, because a hedge is counted.
    """

    request_id: str
    upstream_id: str


@dataclass(frozen=True)
class CallerDisconnected:
    """Report that the caller closed its connection."""

    request_id: str


@dataclass(frozen=True)
class PeerConsumption:
    """Merge the consumption counters of another instance, in ms of engine time."""

    instance_boot: str
    consumed_ms: Mapping[str, float] = field(default_factory=dict)  # By neighbour, cumulative.


@dataclass(frozen=True)
class PeerMemoryClaims:
    """Replace the memory claims of another instance, in tokens by runner."""

    instance_boot: str
    tokens: Mapping[str, int] = field(default_factory=dict)


class UpstreamWork(msgspec.Struct, frozen=True, gc=False):
    """Total of the work that one or more instances have in flight at an upstream.

    A `msgspec.Struct` instead of a data class, because a snapshot of the fleet has hundreds of them.
    """

    prefill_ms: float = 0.0  # Predicted engine time of the pending prefill.
    requests: int = 0
    kv_tokens: int = 0
    parts: int = 0  # Parts of prompts that it prefills for other upstreams.


@dataclass(frozen=True)
class WaitingPrompt:
    """Describe a prompt that waits for engine memory.

    The fields with a default are known only of prompts that the hubs report.
    """

    arrived_wall_ms: int
    request_id: str
    upstream_ids: tuple[str, ...] = ()  # The group that it waits for, if it has chosen one.
    model: str = ""
    workspace: str = ""
    tokens: int = 0
    latest_start_ms: int = 0  # Latest start to be in time, or to end at all if it is late.

    @property
    def sort_key(self) -> tuple[int, str]:
        """Return the key that sorts prompts from oldest to youngest."""
        return (self.arrived_wall_ms, self.request_id)


@dataclass(frozen=True)
class PeerWork:
    """Replace the work in flight of another instance by upstream, without idle upstreams.

    An instance reports its own work with the same class, and a hub the total of all other instances.
    `avoided` lists the upstreams that failed for the instance recently. `choice_rank` is the number of
    other instances that choose at the same time and are ranked first: this instance leaves that many
    of the best upstreams to them. `waiting` lists the prompts that wait for memory, the first ones in the
    fleet's order, and `holders` the number of long prompts that hold memory, by workspace.
    """

    instance: str
    work: Mapping[str, UpstreamWork] = field(default_factory=dict)
    avoided: tuple[str, ...] = ()
    choice_rank: int = 0
    waiting: tuple[WaitingPrompt, ...] = ()
    holders: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class AttemptCounts:
    """Numbers of first attempts, of all further ones, and of the hedges among these."""

    first: int = 0
    retries: int = 0
    hedges: int = 0

    def __add__(self, other: "AttemptCounts") -> "AttemptCounts":
        return AttemptCounts(
            self.first + other.first, self.retries + other.retries, self.hedges + other.hedges
        )

    def __sub__(self, other: "AttemptCounts") -> "AttemptCounts":
        return AttemptCounts(
            self.first - other.first, self.retries - other.retries, self.hedges - other.hedges
        )


@dataclass(frozen=True)
class FleetAttempts:
    """Replace the attempt counts of all other instances in the window of the retry budget.

    `counts` holds them by service, or is None if they are unknown. `instances` is the number of
    instances in the fleet. `hedging` has the first attempts and the hedges at all services in the longer
    window of hedges; it is None if no hub counts them.
    """

    counts: Mapping[str, AttemptCounts] | None
    instances: int = 1
    hedging: AttemptCounts | None = None


@dataclass(frozen=True)
class FirstOutputQuantiles:
    """Quantiles of the times to first output of one class, as multiples of their predictions.

    `tail` is the quantile that a fraction of requests equal to the limit of hedges exceeds.
    """

    count: int
    upper_quartile: float
    tail: float


@dataclass(frozen=True)
class FleetFirstOutputs:
    """Deliver the times to first output of all instances, as measured by a hub, by class."""

    quantiles: Mapping[str, FirstOutputQuantiles]


@dataclass(frozen=True)
class SentCounts:
    """Numbers of requests sent to a limited upstream in a short and a long window."""

    short: int = 0
    long: int = 0

    def __add__(self, other: "SentCounts") -> "SentCounts":
        return SentCounts(self.short + other.short, self.long + other.long)


@dataclass(frozen=True)
class PaceReport:
    """What an instance reports about a limited upstream.

    `limit_per_s` is None if the limit has ended. `observations` increases with each response that
    stated the limit or its end, and `sent` is the number of requests since the limit was known.
    """

    limit_per_s: float | None
    observations: int
    sent: int


@dataclass(frozen=True)
class UpstreamPace:
    """The last stated limit of an upstream, its age, and the requests of all other instances."""

    limit_per_s: float | None  # None if the limit has ended.
    age_ms: int
    sent: SentCounts = SentCounts()


@dataclass(frozen=True)
class ColdOffer:
    """The time for which an upstream stays cold, and the requests that may be sent to it now."""

    left_ms: int
    room: int = 0


@dataclass(frozen=True)
class FleetPaces:
    """Replace the limits that the other instances know; `paces` is None if they are unknown.

    `instances` is the number of instances in the fleet, and `rank` the position of this one among them.
    `cold` is None unless a hub that knows the requests of the last second has answered a question that
    was asked at `asked_ms`.
    """

    paces: Mapping[str, UpstreamPace] | None
    instances: int = 1
    rank: int = 0
    cold: Mapping[str, ColdOffer] | None = None
    asked_ms: int = 0


@dataclass(frozen=True)
class UpstreamResponded:
    """Report what an upstream states about itself in the head of a response.

    `limit_per_s` is the number of requests a second that it takes from all instances together, or
    None if it states no limit. With `is_leaving`, it is about to end and wants no new work. It wants no
    request from this instance for `retry_after_ms`. It stays cold for `cold_remaining_ms`, or states nothing
    about that.
    """

    upstream_id: str
    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_ms: int = 0
    cold_remaining_ms: int | None = None


@dataclass(frozen=True)
class PeerWaitingPrompts:
    """Replace the prompts of another instance that wait for memory on several engines.

    The sender renews its entry every 2 s while a prompt waits.
    """

    instance: str
    written_wall_ms: int
    prompts: tuple[WaitingPrompt, ...] = ()


@dataclass(frozen=True)
class ReservationAnswered:
    """Report a runner's answer to a memory reservation."""

    request_id: str
    upstream_id: str
    handle: str
    outcome: ReservationOutcome

    @property
    def granted(self) -> bool:
        """Return whether the memory is reserved."""
        return self.outcome is ReservationOutcome.GRANTED


@dataclass(frozen=True)
class ReservationRenewed:
    """Report the end of a call that renews a granted reservation.

    `is_confirmed` is false if the runner did not grant the memory again: it did not respond, or another
    process answers at its address.
    """

    request_id: str
    upstream_id: str
    handle: str
    is_confirmed: bool


@dataclass(frozen=True)
class ConfigurationReplaced:
    """Replace the configuration. Requests that were admitted before continue."""

    config: FleetConfig


@dataclass(frozen=True)
class Tick:
    """Report that time has passed."""


Event = (
    RequestArrived
    | LoadReported
    | UpstreamsChanged
    | EvacuationsChanged
    | FirstToken
    | TokensRelayed
    | AttemptEnded
    | AttemptSilent
    | AttemptDelayed
    | CallerDisconnected
    | PeerConsumption
    | PeerMemoryClaims
    | PeerWaitingPrompts
    | PeerWork
    | FleetAttempts
    | FleetFirstOutputs
    | FleetPaces
    | UpstreamResponded
    | ReservationAnswered
    | ReservationRenewed
    | ConfigurationReplaced
    | Tick
)


@dataclass(frozen=True)
class Dispatch:
    """Send the request to an upstream.

    `segments` holds the KV handles of a divided prompt's segments, in prompt order, and
    `segment_upstream_ids` the upstreams at which they are reserved. `helper_ids` are upstreams that
    prefill a part of the prompt without keeping its KV memory.
    """

    request_id: str
    upstream_id: str
    priority: int
    segments: tuple[str, ...] = ()
    segment_upstream_ids: tuple[str, ...] = ()
    helper_ids: tuple[str, ...] = ()
    first_token_ms: float = 0.0  # Predicted time from now to the first token.
    is_hedge: bool = False  # Sent beside the attempt in flight, which goes on.


@dataclass(frozen=True)
class Refuse:
    """End the request with an error to the caller."""

    request_id: str
    reason: RefusalReason
    run_state: RunState
    retry_after_ms: int = 0


@dataclass(frozen=True)
class CancelAttempt:
    """Stop the request's attempt at an upstream, for its silence if `is_silent`."""

    request_id: str
    upstream_id: str
    is_silent: bool = False


@dataclass(frozen=True)
class ConfirmSilence:
    """Send `AttemptSilent` for an attempt without output, once the fleet's attempt counts are recent."""

    request_id: str
    upstream_id: str


@dataclass(frozen=True)
class ConfirmDelay:
    """Send `AttemptDelayed` for an attempt without output, once the fleet's attempt counts are recent."""

    request_id: str
    upstream_id: str


@dataclass(frozen=True)
class DeclineHedge:
    """State which limit rules out a hedge of a request, for logs and metrics."""

    request_id: str
    upstream_id: str
    limit: HedgeLimit


@dataclass(frozen=True)
class ReserveMemory:
    """Reserve KV memory at a runner; answered by `ReservationAnswered`."""

    request_id: str
    upstream_id: str
    handle: str
    tokens: int


@dataclass(frozen=True)
class FreeMemory:
    """Free a KV handle. The daemon repeats this until the runner confirms it."""

    upstream_id: str
    handle: str


@dataclass(frozen=True)
class ConfirmListing:
    """Read the list of upstreams soon, because an upstream with the request's attempt is silent."""

    request_id: str
    upstream_id: str


Decision = (
    Dispatch
    | Refuse
    | CancelAttempt
    | ConfirmSilence
    | ConfirmDelay
    | DeclineHedge
    | ReserveMemory
    | FreeMemory
    | ConfirmListing
)
