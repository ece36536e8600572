"""Configuration of the fleet: one base document and one overlay per site.

The documents travel through the log; every instance has the same base and its own site's overlay in
force. Field descriptions state the unit and are printed in the reference and in the JSON Schema.
"""

from typing import Annotated, Literal

from pydantic import Field

from .base import SettingsModel

Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class NeighbourConfig(SettingsModel):
    """An organisation that is owed a share of the capacity."""

    weight: float = Field(1.0, gt=0, le=1_000_000, description="Share relative to the others.")


class WorkspaceConfig(SettingsModel):
    """A tenant with its keys, models and services."""

    neighbour: str = Field(description="Id of the neighbour that owns the workspace.")
    key_sha256: tuple[Sha256Hex, ...] = Field(
        (), strict=False, description="SHA-256 of each bearer key, as 64 hexadecimal digits."
    )
    models: tuple[str, ...] = Field((), strict=False, description="Models the workspace may use.")
    services: tuple[str, ...] = Field((), strict=False, description="Services it may call.")
    request_timeout_ms: int = Field(
        120_000, ge=100, le=86_400_000, description="Time allotted when the caller states none."
    )


class ModelConfig(SettingsModel):
    """A model and the limits of the engines that run it."""

    context_tokens: int = Field(
        1_000_000, ge=1, le=100_000_000, description="Longest prompt and output together, tokens."
    )
    engine_kv_tokens: int = Field(
        400_000, ge=1, le=100_000_000, description="KV cache memory of one engine, tokens."
    )
    prefill_tokens_per_s: float = Field(
        25_000.0, gt=0, description="Initial estimate of an engine's prefill rate, tokens/s."
    )
    attention_tokens: int | None = Field(
        None,
        ge=1,
        le=100_000_000,
        description="Position at which a prompt token takes twice as long to compute; null: never.",
    )
    decode_tokens_per_s: float = Field(
        60.0, gt=0, description="Initial estimate of one stream's decode rate, tokens/s."
    )
    default_max_output_tokens: int = Field(
        512, ge=1, le=1_000_000, description="Output limit when the caller states none, tokens."
    )
    upstream_slots: int | None = Field(
        None, ge=1, description="Requests that one upstream runs at once; null: not limited."
    )
    call_ms: float | None = Field(
        None,
        gt=0,
        description="Usual time of one call of a plain service; null: a model, whose time follows from its prompt.",
    )
    max_helpers: int = Field(
        0, ge=0, le=64, description="Further engines that may read one prompt together."
    )
    pass_ms: float = Field(
        20.0, gt=0, description="Time of an engine's pass that reads nothing, milliseconds."
    )
    harmless_reading_ms: float = Field(
        200.0,
        gt=0,
        description="Reading in one pass of an engine that makes no stream pause too long.",
    )
    usual_prompt_tokens: int = Field(
        10_000, ge=1, description="Mean prompt; a late request counts by its size against it."
    )
    first_token_timeout_ms: int | None = Field(
        None,
        ge=10,
        description="Longest silence before the first token beyond the estimate; null: that of `scheduling`.",
    )


class ServiceConfig(SettingsModel):
    """A plain service behind the system."""

    repeatable_methods: tuple[str, ...] = Field(
        ("GET", "HEAD", "OPTIONS"),
        strict=False,
        description="Methods that may run more than once; all others need an Idempotency-Key.",
    )
    key_time: Literal["required", "optional"] = Field(
        "required", description="Whether an Idempotency-Key has to carry its creation time."
    )
    request_timeout_ms: int = Field(
        10_000, ge=10, le=86_400_000, description="Time allotted when the caller states none."
    )


class LimitSettings(SettingsModel):
    """Bounds on what a caller may send and what an instance holds for it."""

    max_header_bytes: int = Field(65_536, ge=1_024, description="Header section, bytes.")
    max_body_bytes: int = Field(16_777_216, ge=1_024, description="Request body, bytes.")
    max_unsent_bytes: int = Field(
        262_144, ge=4_096, description="Answer held for one slow caller, bytes."
    )
    max_requests: int = Field(2_000, ge=1, description="Requests held by one instance.")


class SchedulingConfig(SettingsModel):
    """Parameters of admission, queueing, placement and retries."""

    max_queue_per_neighbour: int = Field(200, ge=1, description="Queued requests.")
    short_prompt_tokens: int = Field(8_000, ge=1, description="Upper limit of a short prompt.")
    long_prompt_tokens: int = Field(100_000, ge=1, description="Lower limit of a long prompt.")
    short_memory_reserve: float = Field(
        0.15, ge=0, lt=1, description="Part of engine memory kept for short prompts."
    )
    max_attempts: int = Field(3, ge=1, le=10, description="Attempts of one request.")
    retry_budget: float = Field(
        0.1, ge=0, le=1, description="Retries allowed per first attempt, over ten seconds."
    )
    retry_floor: int = Field(
        3, ge=0, description="Retries that one instance may make in ten seconds in any case."
    )
    placement: Literal["predicted", "least_work", "fewest_requests"] = Field(
        "predicted",
        description="How upstreams are chosen: by predicted first token, by the least work in flight of all instances, or by the fewest own requests (a baseline for measurements).",
    )
    stall_timeout_ms: int = Field(
        5_000, ge=10, description="Longest silence of an upstream between tokens."
    )
    first_token_timeout_ms: int = Field(
        60_000, ge=10, description="Longest silence before the first token beyond the estimate."
    )
    load_report_max_age_ms: int = Field(
        5_000, ge=100, description="Age at which a load report is no longer trusted."
    )


class DrainConfig(SettingsModel):
    """An upstream that an operator took out of use."""

    author: str = Field("", description="Operator who took it out of use.")


class FleetConfig(SettingsModel):
    """The whole configuration of the fleet, as in force at one site."""

    neighbours: dict[str, NeighbourConfig] = Field(
        default_factory=dict, description="Organisations that are owed a share, by id."
    )
    workspaces: dict[str, WorkspaceConfig] = Field(
        default_factory=dict, description="Tenants, by id."
    )
    models: dict[str, ModelConfig] = Field(default_factory=dict, description="Models, by id.")
    services: dict[str, ServiceConfig] = Field(
        default_factory=dict, description="Plain services, by id."
    )
    drained_upstreams: dict[str, DrainConfig] = Field(
        default_factory=dict, description="Upstreams that get no new work, by id."
    )
    operator_key_sha256: tuple[Sha256Hex, ...] = Field(
        (), strict=False, description="SHA-256 of each operator key."
    )
    limits: LimitSettings = Field(LimitSettings(), description="Bounds on callers.")
    scheduling: SchedulingConfig = Field(
        SchedulingConfig(), description="Admission, queueing, placement and retries."
    )
