"""Configuration of the fleet: one base document and one overlay per site.

The documents travel through the log; every instance has the same base and its own site's overlay in
force. Field descriptions state the unit and are printed in the reference and in the JSON Schema.
"""

from typing import Annotated, Literal

from msgspec import Meta

from .base import SettingsModel

Sha256Hex = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class NeighbourConfig(SettingsModel, frozen=True, kw_only=True):
    """An organisation that is owed a share of the capacity."""

    weight: Annotated[
        float, Meta(gt=0, le=1_000_000, description="Share relative to the others.")
    ] = 1.0


class WorkspaceConfig(SettingsModel, frozen=True, kw_only=True):
    """A tenant with its keys, models and services."""

    neighbour: Annotated[str, Meta(description="Id of the neighbour that owns the workspace.")]
    key_sha256: Annotated[
        tuple[Sha256Hex, ...],
        Meta(description="SHA-256 of each bearer key, as 64 hexadecimal digits."),
    ] = ()
    models: Annotated[tuple[str, ...], Meta(description="Models the workspace may use.")] = ()
    services: Annotated[tuple[str, ...], Meta(description="Services it may call.")] = ()
    request_timeout_ms: Annotated[
        int, Meta(ge=100, le=86_400_000, description="Time allotted when the caller states none.")
    ] = 120_000


class ModelConfig(SettingsModel, frozen=True, kw_only=True):
    """A model and the limits of the engines that run it."""

    context_tokens: Annotated[
        int, Meta(ge=1, le=100_000_000, description="Longest prompt and output together, tokens.")
    ] = 1_000_000
    engine_kv_tokens: Annotated[
        int, Meta(ge=1, le=100_000_000, description="KV cache memory of one engine, tokens.")
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
        float, Meta(gt=0, description="Initial estimate of one stream's decode rate, tokens/s.")
    ] = 60.0
    default_max_output_tokens: Annotated[
        int,
        Meta(ge=1, le=1_000_000, description="Output limit when the caller states none, tokens."),
    ] = 512
    upstream_slots: Annotated[
        Annotated[int, Meta(ge=1)] | None,
        Meta(description="Requests that one upstream runs at once; null: not limited."),
    ] = None
    call_ms: Annotated[
        Annotated[float, Meta(gt=0)] | None,
        Meta(
            description="Usual time of one call of a plain service; null: a model, whose time follows from its prompt."
        ),
    ] = None
    max_helpers: Annotated[
        int, Meta(ge=0, le=64, description="Further engines that may read one prompt together.")
    ] = 0
    pass_ms: Annotated[
        float, Meta(gt=0, description="Time of an engine's pass that reads nothing, milliseconds.")
    ] = 20.0
    harmless_reading_ms: Annotated[
        float,
        Meta(
            gt=0,
            description="Reading in one pass of an engine that makes no stream pause too long.",
        ),
    ] = 200.0
    usual_prompt_tokens: Annotated[
        int, Meta(ge=1, description="Mean prompt; a late request counts by its size against it.")
    ] = 10_000
    first_token_timeout_ms: Annotated[
        Annotated[int, Meta(ge=10)] | None,
        Meta(
            description="Longest silence before the first token beyond the estimate; null: that of `scheduling`."
        ),
    ] = None


class ServiceConfig(SettingsModel, frozen=True, kw_only=True):
    """A plain service behind the system."""

    repeatable_methods: Annotated[
        tuple[str, ...],
        Meta(
            description="Methods that may run more than once; all others need an Idempotency-Key."
        ),
    ] = ("GET", "HEAD", "OPTIONS")
    key_time: Annotated[
        Literal["required", "optional"],
        Meta(description="Whether an Idempotency-Key has to carry its creation time."),
    ] = "required"
    request_timeout_ms: Annotated[
        int, Meta(ge=10, le=86_400_000, description="Time allotted when the caller states none.")
    ] = 10_000


class LimitSettings(SettingsModel, frozen=True, kw_only=True):
    """Bounds on what a caller may send and what an instance holds for it."""

    max_header_bytes: Annotated[int, Meta(ge=1_024, description="Header section, bytes.")] = 65_536
    max_body_bytes: Annotated[int, Meta(ge=1_024, description="Request body, bytes.")] = 16_777_216
    max_unsent_bytes: Annotated[
        int, Meta(ge=4_096, description="Answer held for one slow caller, bytes.")
    ] = 262_144
    max_requests: Annotated[int, Meta(ge=1, description="Requests held by one instance.")] = 2_000


class SchedulingConfig(SettingsModel, frozen=True, kw_only=True):
    """Parameters of admission, queueing, placement and retries."""

    max_queue_per_neighbour: Annotated[int, Meta(ge=1, description="Queued requests.")] = 200
    short_prompt_tokens: Annotated[
        int, Meta(ge=1, description="Upper limit of a short prompt.")
    ] = 8_000
    long_prompt_tokens: Annotated[int, Meta(ge=1, description="Lower limit of a long prompt.")] = (
        100_000
    )
    short_memory_reserve: Annotated[
        float, Meta(ge=0, lt=1, description="Part of engine memory kept for short prompts.")
    ] = 0.15
    max_attempts: Annotated[int, Meta(ge=1, le=10, description="Attempts of one request.")] = 3
    retry_budget: Annotated[
        float, Meta(ge=0, le=1, description="Retries allowed per first attempt, over ten seconds.")
    ] = 0.1
    retry_floor: Annotated[
        int,
        Meta(ge=0, description="Retries that one instance may make in ten seconds in any case."),
    ] = 3
    retry_slack: Annotated[
        int,
        Meta(
            ge=0,
            description="Retries beyond the ratio that all instances together may make in ten seconds; 0: each instance has a budget of its own.",
        ),
    ] = 0
    placement: Annotated[
        Literal["predicted", "least_work", "fewest_requests"],
        Meta(
            description="How upstreams are chosen: by predicted first token, by the least work in flight of all instances, or by the fewest own requests (a baseline for measurements)."
        ),
    ] = "predicted"
    stall_timeout_ms: Annotated[
        int, Meta(ge=10, description="Longest silence of an upstream between tokens.")
    ] = 5_000
    first_token_timeout_ms: Annotated[
        int, Meta(ge=10, description="Longest silence before the first token beyond the estimate.")
    ] = 60_000
    load_report_max_age_ms: Annotated[
        int, Meta(ge=100, description="Age at which a load report is no longer trusted.")
    ] = 5_000


class DrainConfig(SettingsModel, frozen=True, kw_only=True):
    """An upstream that an operator took out of use."""

    author: Annotated[str, Meta(description="Operator who took it out of use.")] = ""


class FleetConfig(SettingsModel, frozen=True, kw_only=True):
    """The whole configuration of the fleet, as in force at one site."""

    neighbours: Annotated[
        dict[str, NeighbourConfig], Meta(description="Organisations that are owed a share, by id.")
    ] = {}
    workspaces: Annotated[dict[str, WorkspaceConfig], Meta(description="Tenants, by id.")] = {}
    models: Annotated[dict[str, ModelConfig], Meta(description="Models, by id.")] = {}
    services: Annotated[dict[str, ServiceConfig], Meta(description="Plain services, by id.")] = {}
    drained_upstreams: Annotated[
        dict[str, DrainConfig], Meta(description="Upstreams that get no new work, by id.")
    ] = {}
    operator_key_sha256: Annotated[
        tuple[Sha256Hex, ...], Meta(description="SHA-256 of each operator key.")
    ] = ()
    limits: Annotated[LimitSettings, Meta(description="Bounds on callers.")] = LimitSettings()
    scheduling: Annotated[
        SchedulingConfig, Meta(description="Admission, queueing, placement and retries.")
    ] = SchedulingConfig()
