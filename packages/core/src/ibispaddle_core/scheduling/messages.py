"""Events into the scheduler and decisions out of it.

All times are monotonic milliseconds of the instance.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from ..runstate import RunState
from ..settings.fleet import FleetConfig


class UpstreamState(StrEnum):
    """Tell what may be sent to an upstream."""

    LIVE = "live"
    LEAVING = "leaving"  # Finishes what it has, gets no new work.
    DOWN = "down"


class Outcome(StrEnum):
    """Tell how an attempt ended."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # The upstream refused and proved that nothing ran.
    ABSENT = "absent"  # Another upstream answers at the address; nothing ran.
    NOT_SENT = "not_sent"  # No byte reached the upstream.
    FAILED = "failed"  # The connection broke or the upstream failed after bytes were sent.
    ERROR = "error"  # The upstream answered completely, with an error of its own.
    STALLED = "stalled"
    CANCELLED = "cancelled"


class RetryPolicy(StrEnum):
    """Tell when a failed attempt may be followed by another one."""

    PROVED_NOT_RUN = "proved_not_run"  # Only if the upstream proved that nothing ran.
    BEFORE_OUTPUT = "before_output"  # Until a part of the answer has reached the caller.
    ANY_TIME = "any_time"  # The next attempt continues after what the caller has.


class RefusalReason(StrEnum):
    """Tell why the scheduler refuses a request."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue_full"
    NO_UPSTREAM = "no_upstream"
    TOO_LARGE = "too_large"
    UPSTREAM_FAILED = "upstream_failed"
    CANCELLED = "cancelled"
    DRAINING = "draining"


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
    prefix_hashes: tuple[str, ...] = ()  # One hash per block of the prompt, longest prefix last.
    retry_policy: RetryPolicy = RetryPolicy.BEFORE_OUTPUT
    ttft_objective_ms: int | None = None  # Time to the first token from which the answer is late.
    max_runs: int | None = None  # Upstreams that may run it; None: the configured attempts.
    max_silence_ms: int = (
        0  # Silence that the caller bears, from its arrival, while an engine is busy.
    )


@dataclass(frozen=True)
class RunnerLoad:
    """Report the load of one runner as read from it."""

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
    """Describe a runner that may be used for a set of models."""

    upstream_id: str
    data_centre: str
    models: tuple[str, ...]
    state: UpstreamState = UpstreamState.LIVE


@dataclass(frozen=True)
class RequestArrived:
    """Report a request that asks for admission."""

    request: Request


@dataclass(frozen=True)
class LoadReported:
    """Report a runner's load."""

    load: RunnerLoad


@dataclass(frozen=True)
class UpstreamsChanged:
    """Replace the set of known runners."""

    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True)
class FirstToken:
    """Report the first token of a request's current attempt."""

    request_id: str


@dataclass(frozen=True)
class TokensRelayed:
    """Report generated tokens since the last report of the request."""

    request_id: str
    tokens: int


@dataclass(frozen=True)
class AttemptEnded:
    """Report the end of an attempt.

    `bytes_relayed` is true when part of the answer reached the caller, which rules out a retry
    unless the request can continue after it. `faulty_upstream_id` names the upstream at fault if it is not
    the one that answered.
    """

    request_id: str
    upstream_id: str
    outcome: Outcome
    bytes_relayed: bool = False
    faulty_upstream_id: str | None = None


@dataclass(frozen=True)
class CallerDisconnected:
    """Report that the caller closed its connection."""

    request_id: str


@dataclass(frozen=True)
class PeerConsumption:
    """Merge the consumption counters of another instance, in engine milliseconds."""

    instance_boot: str
    consumed_ms: Mapping[str, float] = field(default_factory=dict)  # By neighbour, cumulative.


@dataclass(frozen=True)
class PeerMemoryClaims:
    """Replace what another instance waits for: engine memory in tokens by runner."""

    instance_boot: str
    tokens: Mapping[str, int] = field(default_factory=dict)


class UpstreamWork(msgspec.Struct, frozen=True, gc=False):
    """Sum up the work that one instance has in flight at an upstream.

    A struct in place of a data class, because a picture of the fleet has hundreds of them.
    """

    prefill_ms: float = 0.0  # Predicted engine time of prompts whose reading has not ended.
    requests: int = 0
    kv_tokens: int = 0
    parts: int = 0  # Parts of prompts that it reads for other upstreams.


@dataclass(frozen=True)
class PeerWork:
    """Replace what another instance has in flight, by upstream; idle upstreams are left out.

    `avoided` names the upstreams that failed for the instance a short time ago, and `choice_rank` is the number of
    instances that choose at the same time and take the better upstreams.
    """

    instance: str
    work: Mapping[str, UpstreamWork] = field(default_factory=dict)
    avoided: tuple[str, ...] = ()
    choice_rank: int = 0


@dataclass(frozen=True)
class AttemptCounts:
    """Count attempts: the first ones of requests, and those that repeat an earlier one."""

    first: int = 0
    retries: int = 0

    def __add__(self, other: "AttemptCounts") -> "AttemptCounts":
        return AttemptCounts(self.first + other.first, self.retries + other.retries)

    def __sub__(self, other: "AttemptCounts") -> "AttemptCounts":
        return AttemptCounts(self.first - other.first, self.retries - other.retries)


@dataclass(frozen=True)
class FleetAttempts:
    """Replace the attempts of all other instances in the window of the retry budget.

    `counts` is None if nobody knows them; `instances` is the size of the fleet.
    """

    counts: AttemptCounts | None
    instances: int = 1


@dataclass(frozen=True)
class WaitingPrompt:
    """Describe a prompt that spans engines and waits for memory of a group of runners."""

    arrived_wall_ms: int
    request_id: str
    upstream_ids: tuple[str, ...]

    @property
    def sort_key(self) -> tuple[int, str]:
        """Return the key by which prompts are ordered, oldest first."""
        return (self.arrived_wall_ms, self.request_id)


@dataclass(frozen=True)
class PeerWaitingPrompts:
    """Replace the prompts that span engines and wait at another instance.

    The writer repeats its entry every 2 s while a prompt waits.
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
    granted: bool


@dataclass(frozen=True)
class ConfigurationReplaced:
    """Put another configuration in force; requests that were admitted before go on."""

    config: FleetConfig


@dataclass(frozen=True)
class Tick:
    """Report that time passed."""


Event = (
    RequestArrived
    | LoadReported
    | UpstreamsChanged
    | FirstToken
    | TokensRelayed
    | AttemptEnded
    | CallerDisconnected
    | PeerConsumption
    | PeerMemoryClaims
    | PeerWaitingPrompts
    | PeerWork
    | FleetAttempts
    | ReservationAnswered
    | ConfigurationReplaced
    | Tick
)


@dataclass(frozen=True)
class Dispatch:
    """Send the request to an upstream.

    `segments` holds the KV handles of a prompt that spans engines, in prompt order, and
    `segment_ids` the upstreams that hold them. `helper_ids` names upstreams that read a part of the
    prompt and keep nothing of it.
    """

    request_id: str
    upstream_id: str
    priority: int
    segments: tuple[str, ...] = ()
    segment_ids: tuple[str, ...] = ()
    helper_ids: tuple[str, ...] = ()
    first_token_ms: float = 0.0  # Predicted time from now to the first token.


@dataclass(frozen=True)
class Refuse:
    """End the request with an error to the caller."""

    request_id: str
    reason: RefusalReason
    run_state: RunState
    retry_after_ms: int = 0


@dataclass(frozen=True)
class CancelAttempt:
    """Stop the request's attempt at an upstream."""

    request_id: str
    upstream_id: str


@dataclass(frozen=True)
class ReserveMemory:
    """Reserve KV memory at a runner; answered by `ReservationAnswered`."""

    request_id: str
    upstream_id: str
    handle: str
    tokens: int


@dataclass(frozen=True)
class FreeMemory:
    """Free a KV handle; repeated by the daemon until the runner confirms it."""

    upstream_id: str
    handle: str


Decision = Dispatch | Refuse | CancelAttempt | ReserveMemory | FreeMemory
