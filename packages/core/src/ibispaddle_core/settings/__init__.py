"""Instance settings and fleet configuration: schemas, overlays and validation."""

from .base import SettingsModel
from .exceptions import SettingsError
from .fleet import (
    DataCentreConfig,
    DelayConfig,
    FleetConfig,
    LimitSettings,
    ModelConfig,
    NeighbourConfig,
    SchedulingConfig,
    ServiceConfig,
    WorkspaceConfig,
)
from .gateway import GatewaySettings
from .instance import (
    MAX_INSTANCE_ID_LENGTH,
    InstanceSettings,
    PeerTlsSettings,
    TlsSettings,
    UpstreamTlsSettings,
)
from .loading import check_fleet, load_fleet, load_instance, parse_json
from .overlay import Origin, merge_layers

__all__ = [
    "DataCentreConfig",
    "DelayConfig",
    "FleetConfig",
    "GatewaySettings",
    "InstanceSettings",
    "LimitSettings",
    "MAX_INSTANCE_ID_LENGTH",
    "ModelConfig",
    "NeighbourConfig",
    "Origin",
    "PeerTlsSettings",
    "SchedulingConfig",
    "ServiceConfig",
    "SettingsError",
    "SettingsModel",
    "TlsSettings",
    "UpstreamTlsSettings",
    "WorkspaceConfig",
    "check_fleet",
    "load_fleet",
    "load_instance",
    "merge_layers",
    "parse_json",
]
