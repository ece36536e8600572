"""Settings of an instance that forwards requests by route."""

from typing import Annotated, Literal

from msgspec import Meta

from .base import SettingsModel
from .instance import InstanceSettings


class GatewaySettings(SettingsModel, frozen=True, kw_only=True):
    """What an instance has to know before it can read the store."""

    instance: Annotated[
        InstanceSettings, Meta(description="What all kinds of instances have to know.")
    ]
    status_listen: Annotated[
        str, Meta(description="Address for readiness and metrics, IP:PORT.")
    ] = "127.0.0.1:8082"
    store_url: Annotated[str, Meta(description="Base URL of the platform's store.")]
    revocation_ms: Annotated[
        Annotated[int, Meta(ge=500)] | None,
        Meta(
            description="Age of the configuration after which keys are no longer accepted; null: never."
        ),
    ] = None
    unready_ms: Annotated[
        int,
        Meta(
            ge=0,
            description="Time for which an instance serves on after it has reported that it stops.",
        ),
    ] = 3_200
    retry_ratio: Annotated[
        float, Meta(ge=0, le=1, description="Retries allowed per first attempt, over ten seconds.")
    ] = 0.1
    retry_floor: Annotated[
        int,
        Meta(ge=0, description="Retries that this instance may make in ten seconds in any case."),
    ] = 3
    retry_slack: Annotated[int, Meta(ge=0, description="As in the fleet's `scheduling`.")] = 0
    in_force_ms: Annotated[
        int,
        Meta(
            ge=500,
            description="Time within which changes of the configuration and upstreams that leave must be known.",
        ),
    ] = 2_000
    capacity: Annotated[
        float,
        Meta(gt=0, description="Processor time of the instance, cores; the first ones are hubs."),
    ] = 1.0
    is_first_start: Annotated[
        bool, Meta(description="Whether the whole fleet starts for the first time.")
    ] = False
    placement: Annotated[
        Literal["predicted", "least_work", "fewest_requests"],
        Meta(description="As in the fleet's `scheduling`."),
    ] = "least_work"
