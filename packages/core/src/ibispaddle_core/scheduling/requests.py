"""State of an admitted request."""

from dataclasses import dataclass, field

from ..runstate import RunState
from .cost import PromptClass
from .messages import Request


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
