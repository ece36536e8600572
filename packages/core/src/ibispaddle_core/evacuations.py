"""Operators' evacuations of data centres, as records of a topic or as part of a configuration."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from .checks import CheckMessage, Severity
from .topics import TopicUpdate


@dataclass(frozen=True)
class Evacuation:
    """One record that asks for an evacuation.

    The key of the record names the data centre, so an evacuation whose value cannot be read applies.
    """

    data_centre: str
    is_readable: bool = True


class EvacuationRecords:
    """Collect the evacuated data centres from the updates of a topic.

    `read` returns the evacuation in a record, or None if the record is of another kind.

    >>> records = EvacuationRecords(lambda key, value: Evacuation(key))
    >>> records.apply(TopicUpdate({"dc1": b"{}", "dc2": b"{}"}, is_snapshot=True))
    ()
    >>> records.apply(TopicUpdate({"dc1": None}))
    ()
    >>> records.data_centres
    frozenset({'dc2'})
    """

    def __init__(self, read: Callable[[str, bytes], Evacuation | None]) -> None:
        self._read = read
        self._by_key: dict[str, str] = {}

    @property
    def data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres."""
        return frozenset(self._by_key.values())

    def apply(self, update: TopicUpdate) -> tuple[str, ...]:
        """Apply changed records and return the keys of those that cannot be read.

        A snapshot ends the evacuations that it does not contain, unless the store was restored: then the
        operators write what is missing again.
        """
        if update.is_snapshot and not update.is_restored:
            self._by_key = {}
        unreadable = []
        for key, value in update.values.items():
            self._by_key.pop(key, None)
            evacuation = self._read(key, value) if value is not None else None
            if evacuation is None:
                continue
            if not evacuation.is_readable:
                unreadable.append(key)
            if evacuation.data_centre:
                self._by_key[key] = evacuation.data_centre
        return tuple(unreadable)


def check_evacuations(evacuated: Collection[str], known: Collection[str]) -> list[CheckMessage]:
    """Return messages about evacuated data centres; `known` are those that have upstreams."""
    path = "$.evacuated_data_centres"
    names = ", ".join(f"'{name}'" for name in sorted(known)) or "none"
    messages = [
        CheckMessage(
            "evacuations.W001",
            Severity.WARNING,
            f"The evacuated data centre '{name}' has no upstreams.",
            f"Data centres with upstreams: {names}.",
            path=f"{path}.{name}",
        )
        for name in sorted(set(evacuated) - set(known))
    ]
    if known and set(known) <= set(evacuated):
        messages.append(
            CheckMessage(
                "evacuations.E001",
                Severity.ERROR,
                f"All data centres with upstreams are evacuated: {names}. No request could be served.",
                "Restore one of them first.",
                path=path,
            )
        )
    return messages
