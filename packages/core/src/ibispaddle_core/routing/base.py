"""Routes and API keys of a configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..scheduling import RetryPolicy
from ..settings.fleet import LimitSettings


@dataclass(frozen=True)
class Target:
    """A service of a route; requests are distributed over the targets in proportion to `weight`."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """The handling of requests for a host and a path prefix."""

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    timeout_ms: int
    ttft_objective_ms: int
    streams: bool = False
    retry_policy: RetryPolicy = RetryPolicy.PROVED_NOT_RUN
    max_runs: int = 1
    public: bool = False  # No API key required.
    # Longest gap between events of a stream, and before its first event, that leaves time to retry on
    # another upstream before the caller gives up. 0: the limit configured for all streams.
    max_silence_ms: int = 0
    # Time without output after which callers leave; None: they wait until their deadline.
    patience_ms: int | None = None
    regions: frozenset[str] | None = None  # Where its requests may run; None: anywhere.


@dataclass(frozen=True)
class RoutingConfig:
    """One version of the routes and API keys.

    `workspaces` maps each key to its workspace; if it is empty, requests need no key. `homes` holds the
    regions in which the requests of a workspace may run; without an entry they may run anywhere.
    """

    version: int
    routes: tuple[Route, ...] = ()
    workspaces: Mapping[str, str] = field(default_factory=dict)
    has_keys: bool = False
    homes: Mapping[str, frozenset[str]] = field(default_factory=dict)
    limits: LimitSettings = field(default_factory=LimitSettings)
