"""Estimates of engine time for prompts and outputs."""

from enum import IntEnum

from ..settings.fleet import FleetConfig, ModelConfig, SchedulingConfig
from .messages import Request

# Initial estimate of the output length as a fraction of its limit, which outputs rarely reach. The
# estimate then follows completed requests.
INITIAL_OUTPUT_FRACTION = 0.5
OUTPUT_SMOOTHING = 0.05
# Streams that are assumed to share a decode step, which divides the engine time of one token.
DECODE_BATCH_SIZE = 16
# Longest duration of a stream as a multiple of its decode time. The engine prefills other prompts
# between the tokens, up to the stall that streams may have.
MAX_STREAM_TIME_FACTOR = 4
# Fraction of an engine's memory above which a prompt is divided into segments. Without segments,
# prompts of half an engine's memory or more would wait for a nearly empty engine.
MAX_SEGMENT_FRACTION = 0.25


class PromptClass(IntEnum):
    """Class of a prompt by length. Lower classes are served first."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2  # Fits the memory of one engine.
    SPANNING = 3  # Needs the memory of several engines.


class CostModel:
    """Estimate prefill and decode times from configured rates and completed requests."""

    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self._default = ModelConfig()
        self._output_fraction: dict[str, float] = {}
        self._segment_limits: dict[str, int] = {}  # By model, cached for the current configuration.

    @property
    def scheduling(self) -> SchedulingConfig:
        """Return the current scheduling parameters."""
        return self._config.scheduling

    def replace(self, config: FleetConfig) -> None:
        """Replace the configuration but keep the estimates of output lengths."""
        self._config = config
        self._segment_limits.clear()

    def model(self, name: str) -> ModelConfig:
        """Return the settings of a model, or the defaults if it is not configured."""
        return self._config.models.get(name, self._default)

    def prompt_class(self, req: Request) -> PromptClass:
        """Return the class of a request's prompt."""
        if self.model(req.model).call_ms is not None:
            return PromptClass.SHORT
        if self.min_segments(req) > 1:
            return PromptClass.SPANNING
        if req.prompt_tokens < self._config.scheduling.short_prompt_tokens:
            return PromptClass.SHORT
        if req.prompt_tokens < self._config.scheduling.long_prompt_tokens:
            return PromptClass.MEDIUM
        return PromptClass.LONG

    def min_segments(self, req: Request) -> int:
        """Return the minimum number of engines whose memory the request needs."""
        return -(-self.kv_tokens(req) // self.segment_limit(req.model))

    def preferred_segments(self, req: Request) -> int:
        """Return the number of engines among which the request is divided if enough exist."""
        kv_tokens = self.model(req.model).engine_kv_tokens
        preferred_tokens = max(
            int(MAX_SEGMENT_FRACTION * kv_tokens), self._config.scheduling.long_prompt_tokens
        )
        return -(-self.kv_tokens(req) // min(preferred_tokens, self.segment_limit(req.model)))

    def idle_ttft_ms(self, req: Request) -> float:
        """Return the time to first token on an idle fleet."""
        cfg = self.model(req.model)
        if cfg.call_ms is not None:
            return cfg.call_ms
        rate = cfg.prefill_tokens_per_s / 1000
        return req.prompt_tokens / self.min_segments(req) / rate

    def priority(self, req: Request) -> int:
        """Return the engine priority: 0 is the highest, and longer prompts have higher numbers."""
        match self.prompt_class(req):
            case PromptClass.SHORT:
                return 0
            case PromptClass.MEDIUM:
                return 2
        long_tokens = self._config.scheduling.long_prompt_tokens
        return min(8, 4 + req.prompt_tokens // (2 * long_tokens))

    def expected_output(self, req: Request) -> int:
        """Return the output tokens that the request is expected to generate."""
        fraction = self._output_fraction.get(req.workspace, INITIAL_OUTPUT_FRACTION)
        return max(1, int(req.max_output_tokens * fraction))

    def observe_output(self, req: Request, tokens: int) -> None:
        """Update the estimate with the output length of a completed request."""
        fraction = min(1.0, tokens / req.max_output_tokens)
        known = self._output_fraction.get(req.workspace, INITIAL_OUTPUT_FRACTION)
        self._output_fraction[req.workspace] = known + OUTPUT_SMOOTHING * (fraction - known)

    def engine_ms(self, req: Request) -> float:
        """Return the engine time that the request is expected to consume."""
        prefill_ms = self.prefill_engine_ms(req.model, req.prompt_tokens)
        return prefill_ms + self.decode_engine_ms(req.model, self.expected_output(req))

    def prefill_engine_ms(self, model: str, tokens: int) -> float:
        """Return the total engine time of a prompt's prefill, on any number of engines.

        Includes the attention of later tokens to all earlier ones. Without it, a neighbour with
        longer prompts than the others would be charged too little.
        """
        cfg = self.model(model)
        if cfg.call_ms is not None:
            return cfg.call_ms
        attention = tokens / (2 * cfg.attention_tokens) if cfg.attention_tokens else 0.0
        return 1000 * tokens / cfg.prefill_tokens_per_s * (1 + attention)

    def decode_engine_ms(self, model: str, tokens: int) -> float:
        """Return the engine time of generated tokens, which share decode steps with other streams."""
        cfg = self.model(model)
        return (
            0.0
            if cfg.call_ms is not None
            else 1000 * tokens / (cfg.decode_tokens_per_s * DECODE_BATCH_SIZE)
        )

    def decode_ms(self, req: Request) -> float:
        """Return the time from the first to the last token of the expected output."""
        cfg = self.model(req.model)
        if cfg.call_ms is not None:
            return 0.0
        return 1000 * self.expected_output(req) / cfg.decode_tokens_per_s

    def max_decode_ms(self, req: Request) -> float:
        """Return the longest time from the first to the last token if the engine is not idle."""
        cfg = self.model(req.model)
        if cfg.call_ms is not None:
            return 0.0
        return MAX_STREAM_TIME_FACTOR * 1000 * req.max_output_tokens / cfg.decode_tokens_per_s

    def max_duration_ms(self, req: Request) -> float:
        """Return the longest duration of the request if no upstream fails.

        A stream may fall silent once, for as long as its caller waits.
        """
        left_ms = float(req.deadline_ms - req.arrived_ms)
        if self.model(req.model).call_ms is not None:
            return left_ms
        first_ms, silence_ms = req.ttft_objective_ms or 0, req.patience_ms or 0
        return min(left_ms, first_ms + silence_ms + self.max_decode_ms(req))

    def first_token_timeout_ms(self, model: str) -> int:
        """Return the timeout of the first token, counted from its predicted time."""
        own_ms = self.model(model).first_token_timeout_ms
        return self.scheduling.first_token_timeout_ms if own_ms is None else own_ms

    def supports_joint_prefill(self, model: str) -> bool:
        """Return whether engines of the model can share a prefill without reservations."""
        return self.model(model).max_helpers > 0

    def kv_tokens(self, req: Request) -> int:
        """Return the engine memory that the request may need, in tokens."""
        return req.prompt_tokens + req.max_output_tokens

    def segment_limit(self, model: str) -> int:
        """Return the maximum memory of one prompt on one engine, in tokens."""
        limit = self._segment_limits.get(model)
        if limit is None:
            reserve = self._config.scheduling.short_memory_reserve
            limit = max(1, int(self.model(model).engine_kv_tokens * (1 - reserve)))
            self._segment_limits[model] = limit
        return limit
