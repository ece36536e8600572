"""Review of a proposed configuration: what is wrong with it, and what it changes."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from ibispaddle_core.change_checks import (
    ListedUpstream,
    check_against_instance,
    run_change_checks,
)
from ibispaddle_core.checks import CheckMessage, Severity
from ibispaddle_core.settings import FleetConfig, InstanceSettings, check_fleet

from .changes import Document
from .commands.config_diff import compare
from .commands.config_show import flatten, hide_secrets
from .drains import DRAINED_FIELD
from .evacuations import EVACUATED_FIELD

BASE = "base"

Layers = Mapping[str, Document]


@dataclass(frozen=True)
class Difference:
    """One effective value that a change alters, with the layer for whose site it does."""

    layer: str
    path: str
    old: Any
    new: Any


@dataclass(frozen=True)
class Review:
    """The messages about a proposed configuration and its differences from the one in force."""

    messages: tuple[CheckMessage, ...]
    differences: tuple[Difference, ...]

    @property
    def errors(self) -> int:
        """Return the number of errors."""
        return sum(message.severity is Severity.ERROR for message in self.messages)


def review_change(
    proposed: Layers,
    in_force: Layers,
    upstreams: Collection[ListedUpstream] | None = None,
    instance: InstanceSettings | None = None,
) -> Review:
    """Compare the layers of a proposed configuration with those in force.

    The base and each overlay on top of it are checked. A message about the base is given once, however
    many sites it concerns. `upstreams` are the listed ones, or None if they are not known. With the settings of an
    `instance`, the limits for callers are compared with its memory.

    >>> review_change({"base": {"limits": {"max_requests": 5}}}, {"base": {}}).differences
    (Difference(layer='base', path='$.limits.max_requests', old=2000, new=5),)
    """
    messages = list(_find_restored(proposed, in_force))
    differences: list[Difference] = []
    for layer in (BASE, *sorted(proposed.keys() - {BASE})):
        config, found = _check_layer(proposed, layer, upstreams, instance)
        known = {_identity(message) for message in messages}
        messages += [message for message in found if _identity(message) not in known]
        old, _ = check_fleet(_effective(in_force, layer))
        if config is not None and old is not None:
            differences += _differences(layer, old, config, differences)
    # Sites whose overlay is removed use the base afterwards.
    for layer in sorted(in_force.keys() - proposed.keys()):
        differences.append(Difference(layer, "$", in_force[layer], None))
    messages.sort(key=lambda message: (message.severity is not Severity.ERROR, message.id))
    return Review(tuple(messages), tuple(differences))


def _effective(layers: Layers, layer: str) -> dict[str, Document]:
    names = (BASE,) if layer == BASE else (BASE, layer)
    return {name: layers.get(name, {}) for name in names}


def _check_layer(
    layers: Layers,
    layer: str,
    upstreams: Collection[ListedUpstream] | None,
    instance: InstanceSettings | None,
) -> tuple[FleetConfig | None, list[CheckMessage]]:
    config, messages = check_fleet(_effective(layers, layer))
    if config is not None:
        messages += run_change_checks(config, upstreams)
        if instance is not None:
            messages += check_against_instance(config, instance)
    return config, [
        message if message.source else replace(message, source=layer) for message in messages
    ]


def _identity(message: CheckMessage) -> tuple[str, str, str]:
    return (message.id, message.path, message.text)


def _find_restored(proposed: Layers, in_force: Layers) -> Iterator[CheckMessage]:
    """Yield an error for each layer that lacks the drains or evacuations which are in force.

    Documents are usually kept in files, which lack the later changes of `upstreams drain` and `evacuate`.
    """
    for layer, document in proposed.items():
        for field in (DRAINED_FIELD, EVACUATED_FIELD):
            names = in_force.get(layer, {}).get(field)
            if names and field not in document:
                yield CheckMessage(
                    "change.E050",
                    Severity.ERROR,
                    f"The document would restore {', '.join(sorted(names))}.",
                    f"Add '{field}' as it is in force, or as {{}} to restore all.",
                    layer,
                    f"$.{field}",
                )


def _differences(
    layer: str, old: FleetConfig, new: FleetConfig, known: Collection[Difference]
) -> Iterator[Difference]:
    """Yield the differences at a site, without those that the base has as well."""
    in_base = {(item.path, str(item.old), str(item.new)) for item in known if item.layer == BASE}
    rows = compare(dict(flatten(old.to_document())), dict(flatten(new.to_document())))
    for path, before, after in rows:
        if not before and not after and {} in (before, after):
            continue  # The table has its first entry now, or none any more; each entry is a row.
        if path.endswith("key_sha256"):
            before, after = _describe_keys(before, after)
        if (path, str(before), str(after)) not in in_base:
            yield Difference(layer, path, before, after)


def _describe_keys(old: Any, new: Any) -> tuple[str, str]:
    """Return what changes in a list of hashes without showing any of them.

    >>> _describe_keys(["a", "b"], ["b", "c"])
    ('(2 hashes)', '(2 hashes), 1 added, 1 removed')
    """
    before, after = set(old or ()), set(new or ())
    text = hide_secrets("key_sha256", new or ())
    added, removed = len(after - before), len(before - after)
    return hide_secrets("key_sha256", old or ()), f"{text}, {added} added, {removed} removed"
