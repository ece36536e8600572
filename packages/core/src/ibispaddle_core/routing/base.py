"""The part of the configuration that names routes and keys."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..scheduling import RetryPolicy
from ..settings.fleet import LimitSettings


@dataclass(frozen=True)
class Target:
    """Name a service and its part of a route's requests, relative to the other targets."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """Describe what is done with the requests for a host and a path prefix."""

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    timeout_ms: int
    ttft_objective_ms: int
    streams: bool = False
    retry_policy: RetryPolicy = RetryPolicy.PROVED_NOT_RUN
    max_runs: int = 1
    public: bool = False  # Needs no key.
    # Silence of a stream, also before its first event, that leaves time for another upstream before the
    # caller gives up; 0: the one configured for all streams.
    max_silence_ms: int = 0


@dataclass(frozen=True)
class RoutingConfig:
    """Hold one version of the routes and keys.

    `workspaces` has the workspace of each key; without any, requests need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    workspaces: Mapping[str, str] = field(default_factory=dict)
    has_keys: bool = False
    limits: LimitSettings = field(default_factory=LimitSettings)
