"""Settings of an instance that forwards requests by route."""

from typing import Annotated, Literal

from msgspec import Meta

from .base import SettingsModel
from .instance import InstanceSettings


class GatewaySettings(SettingsModel, frozen=True, kw_only=True):
    """Settings that an instance needs before it can read the store."""

    instance: Annotated[
        InstanceSettings, Meta(description="Settings common to all kinds of instances.")
    ]
    status_listen: Annotated[
        str, Meta(description="Address of the listener for readiness and metrics, IP:PORT.")
    ] = "127.0.0.1:8082"
    delegate_listen: Annotated[
        str,
        Meta(
            description="Address of the listener for requests that other instances delegate to this one, IP:PORT; empty: it takes none."
        ),
    ] = ""
    spare_ports: Annotated[
        tuple[int, ...],
        Meta(
            description="Ports that are used in place of that of `peer_listen` or `delegate_listen` if it is taken."
        ),
    ] = ()
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
            description="Time for which an instance continues to serve after it has reported that it is stopping.",
        ),
    ] = 3_200
    retry_ratio: Annotated[
        float, Meta(ge=0, le=1, description="Retries allowed per first attempt, over ten seconds.")
    ] = 0.1
    retry_floor: Annotated[
        int,
        Meta(ge=0, description="Retries that this instance may always make in ten seconds."),
    ] = 3
    retry_slack: Annotated[
        int, Meta(ge=0, description="Same as in `scheduling` of the fleet configuration.")
    ] = 0
    hedge_fraction: Annotated[
        float, Meta(ge=0, le=0.5, description="Same as in `scheduling` of the fleet configuration.")
    ] = 0.0
    in_force_ms: Annotated[
        int,
        Meta(
            ge=500,
            description="Time within which configuration changes and departures of upstreams must be known.",
        ),
    ] = 2_000
    capacity: Annotated[
        float,
        Meta(
            gt=0,
            description="CPU capacity of the instance, cores; instances with the highest capacity become hubs.",
        ),
    ] = 1.0
    is_first_start: Annotated[
        bool, Meta(description="Whether the whole fleet starts for the first time.")
    ] = False
    placement: Annotated[
        Literal["predicted", "least_work", "fewest_requests"],
        Meta(description="Same as in `scheduling` of the fleet configuration."),
    ] = "least_work"
