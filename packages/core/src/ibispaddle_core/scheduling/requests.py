"""State of an admitted request."""

from dataclasses import dataclass, field

from ..runstate import RunState
from .cost import PromptClass
from .messages import Request


@dataclass(slots=True)
class HedgeAttempt:
    """Hold the second of two attempts in flight."""

    upstream_id: str
    helper_ids: tuple[str, ...]
    sent_ms: int
    expected_ms: float
    first_token_due_ms: int
    charged_ms: float


@dataclass(slots=True)
class RequestState:
    """Hold the scheduler's state of an admitted request."""

    req: Request
    prompt_class: PromptClass
    cost_ms: float  # Expected engine time.
    attempts: int = 0
    runs: int = 0  # Ended attempts without proof that nothing ran.
    tried: set[str] = field(default_factory=set)
    upstream_id: str | None = None  # Set while an attempt is in flight.
    helper_ids: tuple[str, ...] = ()  # Upstreams that prefill a part of the prompt.
    cancelling: bool = False  # The attempt was cancelled; its end has not been reported.
    is_retry_granted: bool = False  # The attempt is cancelled for a retry that has been counted.
    first_token: bool = False
    first_token_due_ms: int = 0
    sent_ms: int = 0  # Start of the attempt in flight.
    expected_ms: float = 0.0  # Its predicted time to the first token.
    hedge: HedgeAttempt | None = None  # Set while a second attempt is in flight.
    hedge_due_ms: int = 0  # Time at which a hedge is considered; 0: never.
    may_have_run: bool = False  # An earlier attempt ended without proof that nothing ran.
    queued: bool = False
    reserving: bool = False  # Waits for memory and counts against the neighbour's bound.
    charged_ms: float = 0.0  # Charged for the attempt in flight.
    tokens: int = 0

    @property
    def run_state(self) -> RunState:
        """Return the run state to report in a refusal."""
        if self.may_have_run or self.upstream_id is not None:
            return RunState.UNKNOWN
        return RunState.NOT_RUN

    @property
    def may_be_hedged(self) -> bool:
        """Return whether the first attempt is in flight, alone and without output."""
        is_first = self.upstream_id is not None and self.attempts == 1
        return is_first and not (self.first_token or self.cancelling)

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Return the upstreams with an attempt in flight."""
        first = () if self.upstream_id is None else (self.upstream_id,)
        return first if self.hedge is None else (*first, self.hedge.upstream_id)
