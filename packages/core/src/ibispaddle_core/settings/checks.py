"""Validation that involves several settings."""

from collections.abc import Collection, Iterator, Mapping
from typing import Protocol

from ..checks import CheckMessage, Severity
from .fleet import FleetConfig
from .instance import InstanceSettings
from .overlay import Origin

# Maximum clock difference between a caller and the log that the claim window has to cover.
CLOCK_TOLERANCE_MS = 60_000


class _HasRegions(Protocol):
    @property
    def regions(self) -> tuple[str, ...] | None: ...


def run_instance_checks(settings: InstanceSettings, source: str) -> list[CheckMessage]:
    """Return messages about inconsistent values in one instance's settings."""
    messages = []
    if settings.claim_window_ms + 2 * CLOCK_TOLERANCE_MS > settings.log_retention_ms:
        messages.append(
            CheckMessage(
                "settings.E020",
                Severity.ERROR,
                f"The claim window of {settings.claim_window_ms} ms does not fit in the log's"
                f" retention of {settings.log_retention_ms} ms.",
                "Lower 'claim_window_ms' or raise the retention to at least two minutes above it.",
                source,
                "$.claim_window_ms",
            )
        )
    for name in ("listen", "peer_listen"):
        value = getattr(settings, name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65_535:
            messages.append(
                CheckMessage(
                    "settings.E021",
                    Severity.ERROR,
                    f"The address '{value}' is not an IP address and a port.",
                    "Write IP:PORT, for example 127.0.0.1:8080.",
                    source,
                    f"$.{name}",
                )
            )
    return messages


def run_fleet_checks(config: FleetConfig, origins: Mapping[str, Origin]) -> list[CheckMessage]:
    """Return messages about inconsistent parts of the fleet configuration."""
    return [
        *_check_references(config, origins),
        *_check_keys(config),
        *_check_services(config),
        *_check_regions(config, origins),
        *_check_homes(config),
        *_check_hedges(config),
    ]


def _check_references(config: FleetConfig, origins: Mapping[str, Origin]) -> Iterator[CheckMessage]:
    for name, workspace in config.workspaces.items():
        path = f"$.workspaces.{name}"
        references: tuple[tuple[str, tuple[str, ...], Collection[str], str], ...] = (
            ("neighbour", (workspace.neighbour,), config.neighbours, "settings.E010"),
            ("models", workspace.models, config.models, "settings.E011"),
            ("services", workspace.services, config.services, "settings.E012"),
        )
        for field, values, known, check_id in references:
            origin = origins.get(f"{path}.{field}")
            for value in values:
                if value not in known:
                    yield CheckMessage(
                        check_id,
                        Severity.ERROR,
                        f"The workspace '{name}' refers to '{value}', which is not configured.",
                        f"Known: {', '.join(sorted(known)) or 'none'}.",
                        origin.layer if origin else "",
                        f"{path}.{field}",
                    )


def _check_keys(config: FleetConfig) -> Iterator[CheckMessage]:
    owners: dict[str, str] = {}
    for name, workspace in config.workspaces.items():
        for digest in workspace.key_sha256:
            other = owners.setdefault(digest, name)
            if other != name:
                yield CheckMessage(
                    "settings.E013",
                    Severity.ERROR,
                    f"The workspaces '{other}' and '{name}' share a bearer key.",
                    "Use separate keys for each workspace.",
                    "",
                    f"$.workspaces.{name}.key_sha256",
                )


def _check_services(config: FleetConfig) -> Iterator[CheckMessage]:
    for name, service in config.services.items():
        if service.key_time == "optional":
            yield CheckMessage(
                "settings.W001",
                Severity.WARNING,
                f"The service '{name}' accepts idempotency keys without a creation time: a call"
                " that is retried after the claim window can run a second time.",
                "Set 'key_time' to 'required'.",
                "",
                f"$.services.{name}.key_time",
            )


def _check_regions(config: FleetConfig, origins: Mapping[str, Origin]) -> Iterator[CheckMessage]:
    known = set(config.region_by_data_centre.values())
    kinds: tuple[tuple[str, Mapping[str, _HasRegions]], ...] = (
        ("workspaces", config.workspaces),
        ("models", config.models),
        ("services", config.services),
    )
    for kind, items in kinds:
        for name, item in items.items():
            path = f"$.{kind}.{name}.regions"
            origin = origins.get(path)
            for region in sorted(set(item.regions or ()) - known):
                yield CheckMessage(
                    "settings.E014",
                    Severity.ERROR,
                    f"The region '{region}' has no data centre.",
                    f"Regions of 'data_centres': {', '.join(sorted(known)) or 'none'}.",
                    origin.layer if origin else "",
                    path,
                )


def _check_homes(config: FleetConfig) -> Iterator[CheckMessage]:
    """Yield a warning for each model or service that a workspace names but may not use anywhere."""
    for name, workspace in config.workspaces.items():
        if workspace.regions is None:
            continue
        kinds: tuple[tuple[str, tuple[str, ...], Mapping[str, _HasRegions]], ...] = (
            ("models", workspace.models, config.models),
            ("services", workspace.services, config.services),
        )
        for kind, used, items in kinds:
            for other in used:
                regions = items[other].regions if other in items else None
                if regions is not None and not set(regions) & set(workspace.regions):
                    yield CheckMessage(
                        "settings.W002",
                        Severity.WARNING,
                        f"The workspace '{name}' and '{other}' have no region in common, so its"
                        " requests are refused.",
                        "Add a common region to 'regions' of both.",
                        "",
                        f"$.workspaces.{name}.{kind}",
                    )


def _check_hedges(config: FleetConfig) -> Iterator[CheckMessage]:
    scheduling = config.scheduling
    if scheduling.hedge_fraction > scheduling.retry_budget:
        yield CheckMessage(
            "settings.W003",
            Severity.WARNING,
            f"The limit of hedges {scheduling.hedge_fraction} is above the retry budget"
            f" {scheduling.retry_budget}, which bounds them as well.",
            "Lower 'hedge_fraction' or raise 'retry_budget'.",
            "",
            "$.scheduling.hedge_fraction",
        )
