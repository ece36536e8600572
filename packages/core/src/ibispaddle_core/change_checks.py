"""Checks of a proposed configuration before it is sent.

They find what is valid but useless: entries that can never match, and limits that contradict each other.
Because a fleet may be built up in steps, most of them are warnings.
"""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass

from .chat.tokens import CHARACTERS_PER_TOKEN
from .checks import CheckMessage, Severity
from .evacuations import check_evacuations
from .forwarding.memory_budget import MemoryBudget
from .settings import FleetConfig, InstanceSettings


@dataclass(frozen=True)
class ListedUpstream:
    """An upstream that instances know, with the models and the service that it serves."""

    upstream_id: str
    data_centre: str
    models: tuple[str, ...] = ()
    service: str | None = None


def run_change_checks(
    config: FleetConfig, upstreams: Collection[ListedUpstream] | None = None
) -> list[CheckMessage]:
    """Return messages about a valid configuration; without `upstreams`, those that need none.

    >>> from ibispaddle_core.settings import load_fleet
    >>> config = load_fleet({"base": {"neighbours": {"north": {}}}})
    >>> [message.id for message in run_change_checks(config)]
    ['change.W002']
    """
    messages = [
        *_check_unused(config),
        *_check_lengths(config),
        *_check_timeouts(config),
        *_check_queue_and_retries(config),
    ]
    if upstreams is None:
        # The upstreams may be in further data centres, so that only the names can be compared.
        known = set(config.data_centres)
        evacuated = known & set(config.evacuated_data_centres)
        messages += check_evacuations(evacuated, known)
    else:
        known = {upstream.data_centre for upstream in upstreams}
        messages += check_evacuations(config.evacuated_data_centres, known)
        messages += _check_drains(config, upstreams)
        if not known <= set(config.evacuated_data_centres):
            messages += _check_places(config, upstreams)
    return messages


def check_against_instance(config: FleetConfig, settings: InstanceSettings) -> list[CheckMessage]:
    """Return messages about limits for callers that exceed what an instance may hold for all."""
    budget, limits = MemoryBudget.from_settings(settings), config.limits
    held = (
        (60, "max_body_bytes", limits.max_body_bytes, "request bodies", budget.request_bodies),
        (61, "max_unsent_bytes", limits.max_unsent_bytes, "responses", budget.unread_responses),
    )
    return [
        _warning(
            number,
            f"One caller may use {limit} bytes, but the instance '{settings.instance_id}' holds"
            f" {most} bytes of {what} for all callers together.",
            f"Lower '{name}', or raise the instance's memory.",
            f"$.limits.{name}",
        )
        for number, name, limit, what, most in held
        if limit > most
    ]


def _warning(number: int, text: str, hint: str, path: str) -> CheckMessage:
    return CheckMessage(f"change.W{number:03}", Severity.WARNING, text, hint, path=path)


def _error(number: int, text: str, hint: str, path: str) -> CheckMessage:
    return CheckMessage(f"change.E{number:03}", Severity.ERROR, text, hint, path=path)


def _check_unused(config: FleetConfig) -> Iterator[CheckMessage]:
    """Yield messages about entries that no request can match."""
    workspaces = config.workspaces
    for name, workspace in workspaces.items():
        path = f"$.workspaces.{name}"
        if not workspace.key_sha256:
            text = f"The workspace '{name}' has no key, so no request can belong to it."
            yield _warning(1, text, "Add the SHA-256 of a key to 'key_sha256'.", path)
        if not workspace.models and not workspace.services:
            text = f"The workspace '{name}' may use no model and no service."
            yield _warning(1, text, "Add 'models' or 'services', or remove it.", path)
    owners = {workspace.neighbour for workspace in workspaces.values()}
    models = {model for workspace in workspaces.values() for model in workspace.models}
    services = {service for workspace in workspaces.values() for service in workspace.services}
    kinds: tuple[tuple[str, str, Mapping[str, object], set[str]], ...] = (
        ("neighbours", "neighbour", config.neighbours, owners),
        ("models", "model", config.models, models),
        ("services", "service", config.services, services),
    )
    for kind, word, entries, used in kinds:
        for name in sorted(entries.keys() - used):
            text = f"No workspace uses the {word} '{name}'."
            yield _warning(2, text, "Name it in a workspace, or remove it.", f"$.{kind}.{name}")
    workspace_keys = {digest for w in workspaces.values() for digest in w.key_sha256}
    if workspace_keys & set(config.operator_key_sha256):
        text = (
            "A key of a workspace is an operator key as well, so its callers may operate the fleet."
        )
        yield _error(3, text, "Use separate keys.", "$.operator_key_sha256")


def _check_lengths(config: FleetConfig) -> Iterator[CheckMessage]:
    """Yield messages about limits of lengths that contradict each other."""
    cfg = config.scheduling
    if cfg.short_prompt_tokens >= cfg.long_prompt_tokens:
        text = (
            f"Short prompts have up to {cfg.short_prompt_tokens} tokens, but long ones have"
            f" {cfg.long_prompt_tokens} or more."
        )
        hint = "Set 'short_prompt_tokens' below 'long_prompt_tokens'."
        yield _error(10, text, hint, "$.scheduling.short_prompt_tokens")
    for name, model in config.models.items():
        path = f"$.models.{name}"
        if model.cold_ms > 0 and model.cold_requests_per_s == 0:
            text = f"The model '{name}' is cold for {model.cold_ms} ms, but has no limit for that time."
            yield _warning(13, text, "Set 'cold_requests_per_s'.", f"{path}.cold_ms")
        if model.call_ms is not None:
            continue  # A plain service has no prompts.
        if model.default_max_output_tokens >= model.context_tokens:
            text = (
                f"Without an output limit of the caller, the model '{name}' reserves"
                f" {model.default_max_output_tokens} tokens for the output, which leaves nothing of"
                f" its {model.context_tokens} tokens for the prompt."
            )
            hint = "Lower 'default_max_output_tokens'."
            yield _error(11, text, hint, f"{path}.default_max_output_tokens")
        longest = config.limits.max_body_bytes // CHARACTERS_PER_TOKEN
        if longest < model.context_tokens:
            text = (
                f"A body of {config.limits.max_body_bytes} bytes holds a prompt of about {longest}"
                f" tokens, less than the {model.context_tokens} tokens of the model '{name}'."
            )
            hint = "Raise 'limits.max_body_bytes' or lower 'context_tokens'."
            yield _warning(12, text, hint, f"{path}.context_tokens")


def _check_timeouts(config: FleetConfig) -> Iterator[CheckMessage]:
    """Yield messages about time-outs that can never expire before the request's own."""
    for name, workspace in config.workspaces.items():
        timeout_ms = workspace.request_timeout_ms
        path = f"$.workspaces.{name}.request_timeout_ms"
        if workspace.models and config.scheduling.stall_timeout_ms >= timeout_ms:
            text = (
                f"Requests of the workspace '{name}' time out after {timeout_ms} ms, so a stream that"
                f" stalls for {config.scheduling.stall_timeout_ms} ms is never continued elsewhere."
            )
            hint = "Set 'scheduling.stall_timeout_ms' well below the time-out."
            yield _warning(20, text, hint, path)
        for model_name in workspace.models:
            model = config.models.get(model_name)
            if model is None:
                continue
            if model.call_ms is not None:
                needed_ms = model.call_ms
            else:
                needed_ms = 1_000 * model.usual_prompt_tokens / model.prefill_tokens_per_s
            if needed_ms >= timeout_ms:
                text = (
                    f"A usual request for '{model_name}' takes {needed_ms:.0f} ms until its first"
                    f" output, but those of the workspace '{name}' time out after {timeout_ms} ms."
                )
                yield _warning(21, text, "Raise the time-out.", path)


def _check_queue_and_retries(config: FleetConfig) -> Iterator[CheckMessage]:
    cfg = config.scheduling
    if cfg.max_queue_per_neighbour > config.limits.max_requests:
        text = (
            f"An instance takes {config.limits.max_requests} requests, so a queue of"
            f" {cfg.max_queue_per_neighbour} is never full."
        )
        hint = "Lower 'max_queue_per_neighbour' or raise 'limits.max_requests'."
        yield _warning(30, text, hint, "$.scheduling.max_queue_per_neighbour")
    has_budget = cfg.retry_budget > 0 or cfg.retry_floor > 0 or cfg.retry_slack > 0
    if cfg.max_attempts > 1 and not has_budget:
        text = (
            f"Requests may have {cfg.max_attempts} attempts, but the retry budget allows no retry."
        )
        hint = "Raise 'retry_budget' or 'retry_floor', or set 'max_attempts' to 1."
        yield _warning(31, text, hint, "$.scheduling.max_attempts")


def _check_drains(
    config: FleetConfig, upstreams: Collection[ListedUpstream]
) -> Iterator[CheckMessage]:
    known = {upstream.upstream_id for upstream in upstreams}
    for name in sorted(config.drained_upstreams.keys() - known):
        text = f"The drained upstream '{name}' is not listed."
        hint = f"Listed: {', '.join(sorted(known)) or 'none'}."
        yield _warning(40, text, hint, f"$.drained_upstreams.{name}")


def _check_places(
    config: FleetConfig, upstreams: Collection[ListedUpstream]
) -> Iterator[CheckMessage]:
    """Yield a message for each model or service of a workspace that no upstream may run for it."""
    usable = [
        upstream
        for upstream in upstreams
        if upstream.upstream_id not in config.drained_upstreams
        and upstream.data_centre not in config.evacuated_data_centres
    ]
    region_of = config.region_by_data_centre
    for name, workspace in config.workspaces.items():
        uses = [("models", used) for used in workspace.models]
        uses += [("services", used) for used in workspace.services]
        for kind, used in uses:
            entry = config.models.get(used) if kind == "models" else config.services.get(used)
            regions = (workspace.regions, entry.regions if entry is not None else None)
            homes = [home for home in regions if home is not None]
            places = {
                upstream.data_centre
                for upstream in usable
                if used in upstream.models or (kind == "services" and used == upstream.service)
            }
            if any(all(region_of.get(place) in home for home in homes) for place in places):
                continue
            where = " in the regions where its requests may run" if places else ""
            text = f"The workspace '{name}' uses '{used}', which no usable upstream serves{where}."
            hint = "Drained upstreams and evacuated data centres do not count."
            yield _warning(41, text, hint, f"$.workspaces.{name}.{kind}")
