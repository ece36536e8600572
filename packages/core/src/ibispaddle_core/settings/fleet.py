"""Configuration of the fleet: one base document and one overlay per site.

The documents are distributed through the log; every instance uses the same base and the overlay of
its own site. Field descriptions state the unit and appear in the reference and in the JSON Schema.
"""

from typing import Annotated, Literal

from msgspec import Meta

from .base import SettingsModel

Sha256Hex = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class NeighbourConfig(SettingsModel, frozen=True, kw_only=True):
    """An organisation that is entitled to a share of the capacity."""

    weight: Annotated[
        float, Meta(gt=0, le=1_000_000, description="Share relative to other neighbours.")
    ] = 1.0


class WorkspaceConfig(SettingsModel, frozen=True, kw_only=True):
    """A tenant with its bearer keys, models and services."""

    neighbour: Annotated[str, Meta(description="Id of the neighbour that owns the workspace.")]
    key_sha256: Annotated[
        tuple[Sha256Hex, ...],
        Meta(description="SHA-256 of each bearer key, as 64 hexadecimal digits."),
    ] = ()
    models: Annotated[tuple[str, ...], Meta(description="Models the workspace may use.")] = ()
    services: Annotated[tuple[str, ...], Meta(description="Services the workspace may call.")] = ()
    regions: Annotated[
        Annotated[tuple[str, ...], Meta(min_length=1)] | None,
        Meta(description="Regions in which its requests may run; null: anywhere."),
    ] = None
    request_timeout_ms: Annotated[
        int, Meta(ge=100, le=86_400_000, description="Request timeout if the caller sets none.")
    ] = 120_000


class DelayConfig(SettingsModel, frozen=True, kw_only=True):
    """The delay of messages between two data centres."""

    first: Annotated[str, Meta(description="One of the data centres.")]
    second: Annotated[str, Meta(description="The other data centre.")]
    delay_ms: Annotated[
        float, Meta(ge=0, le=60_000, description="Delay in one direction, milliseconds.")
    ]


class ModelConfig(SettingsModel, frozen=True, kw_only=True):
    """A model and the capacity of the engines that run it."""

    context_tokens: Annotated[
        int,
        Meta(
            ge=1,
            le=100_000_000,
            description="Maximum length of prompt and output together, tokens.",
        ),
    ] = 1_000_000
    engine_kv_tokens: Annotated[
        int, Meta(ge=1, le=100_000_000, description="KV cache capacity of one engine, tokens.")
    ] = 400_000
    prefill_tokens_per_s: Annotated[
        float, Meta(gt=0, description="Initial estimate of an engine's prefill rate, tokens/s.")
    ] = 25_000.0
    attention_tokens: Annotated[
        Annotated[int, Meta(ge=1, le=100_000_000)] | None,
        Meta(
            description="Position at which a prompt token takes twice as long to compute; null: never."
        ),
    ] = None
    decode_tokens_per_s: Annotated[
        float,
        Meta(gt=0, description="Initial estimate of the decode rate of one stream, tokens/s."),
    ] = 60.0
    default_max_output_tokens: Annotated[
        int,
        Meta(ge=1, le=1_000_000, description="Output limit if the caller sets none, tokens."),
    ] = 512
    upstream_slots: Annotated[
        Annotated[int, Meta(ge=1)] | None,
        Meta(description="Maximum number of concurrent requests of one upstream; null: unlimited."),
    ] = None
    regions: Annotated[
        Annotated[tuple[str, ...], Meta(min_length=1)] | None,
        Meta(description="Regions in which its requests may run; null: anywhere."),
    ] = None
    call_ms: Annotated[
        Annotated[float, Meta(gt=0)] | None,
        Meta(
            description="Typical duration of a call to a plain service; null: a model, whose duration depends on its prompt."
        ),
    ] = None
    max_helpers: Annotated[
        int,
        Meta(
            ge=0, le=64, description="Maximum number of additional engines that prefill one prompt."
        ),
    ] = 0
    pass_ms: Annotated[
        float, Meta(gt=0, description="Duration of an engine step without prefill, milliseconds.")
    ] = 20.0
    harmless_reading_ms: Annotated[
        float,
        Meta(
            gt=0,
            description="Prefill time in one engine step that does not delay streams too long, milliseconds.",
        ),
    ] = 200.0
    usual_prompt_tokens: Annotated[
        int,
        Meta(
            ge=1,
            description="Mean prompt length, tokens; late requests are weighted by their size relative to it.",
        ),
    ] = 10_000
    first_token_timeout_ms: Annotated[
        Annotated[int, Meta(ge=10)] | None,
        Meta(
            description="Maximum time to the first token beyond the estimate; null: the value of `scheduling`."
        ),
    ] = None
    delays: Annotated[
        tuple[DelayConfig, ...],
        Meta(
            description="Delays between data centres; without them, the placement takes all upstreams for near."
        ),
    ] = ()
    cold_requests_per_s: Annotated[
        float,
        Meta(
            ge=0,
            le=1_000_000,
            description="Requests a second that an upstream bears while it is cold, from all instances together; 0: no limit.",
        ),
    ] = 0.0
    cold_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=3_600_000,
            description="Time for which an upstream is cold after a start, if it does not state it, milliseconds.",
        ),
    ] = 0


class ServiceConfig(SettingsModel, frozen=True, kw_only=True):
    """A plain HTTP service that instances forward calls to."""

    repeatable_methods: Annotated[
        tuple[str, ...],
        Meta(
            description="Methods that may be executed more than once; all others require an Idempotency-Key."
        ),
    ] = ("GET", "HEAD", "OPTIONS")
    key_time: Annotated[
        Literal["required", "optional"],
        Meta(description="Whether an Idempotency-Key must contain its creation time."),
    ] = "required"
    regions: Annotated[
        Annotated[tuple[str, ...], Meta(min_length=1)] | None,
        Meta(description="Regions in which its calls may run; null: anywhere."),
    ] = None
    request_timeout_ms: Annotated[
        int, Meta(ge=10, le=86_400_000, description="Request timeout if the caller sets none.")
    ] = 10_000


class DataCentreConfig(SettingsModel, frozen=True, kw_only=True):
    """A data centre of the fleet."""

    region: Annotated[str, Meta(min_length=1, description="Region of the data centre.")]


class LimitSettings(SettingsModel, frozen=True, kw_only=True):
    """Limits on requests of callers and on what an instance buffers for them."""

    max_header_bytes: Annotated[
        int, Meta(ge=1_024, description="Maximum size of the header section, bytes.")
    ] = 65_536
    max_body_bytes: Annotated[
        int, Meta(ge=1_024, description="Maximum size of a request body, bytes.")
    ] = 16_777_216
    max_unsent_bytes: Annotated[
        int, Meta(ge=4_096, description="Response data buffered for one slow caller, bytes.")
    ] = 262_144
    max_requests: Annotated[
        int, Meta(ge=1, description="Maximum number of requests in one instance.")
    ] = 2_000


class SchedulingConfig(SettingsModel, frozen=True, kw_only=True):
    """Parameters of admission, queueing, placement and retries."""

    max_queue_per_neighbour: Annotated[
        int, Meta(ge=1, description="Maximum number of queued requests.")
    ] = 200
    short_prompt_tokens: Annotated[
        int, Meta(ge=1, description="Maximum length of a short prompt, tokens.")
    ] = 8_000
    long_prompt_tokens: Annotated[
        int, Meta(ge=1, description="Minimum length of a long prompt, tokens.")
    ] = 100_000
    short_memory_reserve: Annotated[
        float, Meta(ge=0, lt=1, description="Fraction of engine memory reserved for short prompts.")
    ] = 0.15
    max_attempts: Annotated[
        int, Meta(ge=1, le=10, description="Maximum number of attempts of one request.")
    ] = 3
    retry_budget: Annotated[
        float, Meta(ge=0, le=1, description="Retries allowed per first attempt, over ten seconds.")
    ] = 0.1
    retry_floor: Annotated[
        int,
        Meta(ge=0, description="Retries that one instance may always make in ten seconds."),
    ] = 3
    retry_slack: Annotated[
        int,
        Meta(
            ge=0,
            description="Retries beyond the ratio that all instances together may make in ten seconds; 0: each instance has its own budget.",
        ),
    ] = 0
    hedge_fraction: Annotated[
        float,
        Meta(
            ge=0,
            le=0.5,
            description="Second attempts, of requests that may be repeated, that all instances together may start for slow first ones, per first attempt; also limited by the retry budget; 0: none. Requires an instance that forwards requests by route.",
        ),
    ] = 0.0
    placement: Annotated[
        Literal["predicted", "least_work", "fewest_requests"],
        Meta(
            description="How upstreams are selected: by predicted time to the first token, by the least work in flight of all instances, or by the fewest requests of the instance itself (a baseline for measurements)."
        ),
    ] = "predicted"
    stall_timeout_ms: Annotated[
        int, Meta(ge=10, description="Maximum time between two tokens of an upstream.")
    ] = 5_000
    first_token_timeout_ms: Annotated[
        int, Meta(ge=10, description="Maximum time to the first token beyond the estimate.")
    ] = 60_000
    load_report_max_age_ms: Annotated[
        int, Meta(ge=100, description="Age after which a load report is no longer used.")
    ] = 5_000


class DrainConfig(SettingsModel, frozen=True, kw_only=True):
    """An upstream that an operator has drained."""

    author: Annotated[str, Meta(description="Operator who drained the upstream.")] = ""


class EvacuationConfig(SettingsModel, frozen=True, kw_only=True):
    """A data centre that an operator evacuates."""

    reason: Annotated[str, Meta(max_length=1_000, description="Why it is evacuated.")] = ""
    author: Annotated[str, Meta(description="Operator who evacuated the data centre.")] = ""
    time_ms: Annotated[
        int, Meta(ge=0, description="Unix time of the operator's command, milliseconds.")
    ] = 0


class FleetConfig(SettingsModel, frozen=True, kw_only=True):
    """The complete configuration of the fleet as used at one site."""

    neighbours: Annotated[
        dict[str, NeighbourConfig],
        Meta(description="Organisations that are entitled to a share, by id."),
    ] = {}
    workspaces: Annotated[dict[str, WorkspaceConfig], Meta(description="Tenants, by id.")] = {}
    models: Annotated[dict[str, ModelConfig], Meta(description="Models, by id.")] = {}
    services: Annotated[dict[str, ServiceConfig], Meta(description="Plain services, by id.")] = {}
    data_centres: Annotated[
        dict[str, DataCentreConfig],
        Meta(
            description="Data centres with their regions, by id; those that are missing are in no region."
        ),
    ] = {}
    drained_upstreams: Annotated[
        dict[str, DrainConfig], Meta(description="Upstreams that get no new work, by id.")
    ] = {}
    evacuated_data_centres: Annotated[
        dict[str, EvacuationConfig],
        Meta(description="Data centres whose upstreams get no new work, by id."),
    ] = {}
    operator_key_sha256: Annotated[
        tuple[Sha256Hex, ...], Meta(description="SHA-256 of each operator key.")
    ] = ()
    limits: Annotated[LimitSettings, Meta(description="Limits for callers.")] = LimitSettings()
    scheduling: Annotated[
        SchedulingConfig, Meta(description="Admission, queueing, placement and retries.")
    ] = SchedulingConfig()

    @property
    def region_by_data_centre(self) -> dict[str, str]:
        """Return the region of each data centre."""
        return {name: data_centre.region for name, data_centre in self.data_centres.items()}
