"""Upstreams that register themselves in the platform's store."""

from collections.abc import Mapping
from dataclasses import dataclass

from .entries import ListedState, ListEntry, MemberKind

# Upstreams whose entries expired during a store outage register again within about two seconds
# after the store has recovered. Entries that are still missing after that are removed.
STORE_RECOVERY_GRACE_MS = 1_900


@dataclass(frozen=True)
class Registration:
    """Data that an upstream registers about itself."""

    upstream_id: str
    service: str
    address: str
    data_centre: str
    is_leaving: bool = False
    boot_ms: int | None = None  # Unix time of its start; identifies the process.


class RegistrationTable:
    """Table of the registered upstreams.

    An upstream whose entry disappears shortly after the store has recovered is kept until
    `STORE_RECOVERY_GRACE_MS` after the recovery, because the entry may have expired only because
    the store could not accept heartbeats.
    """

    def __init__(self) -> None:
        self._registrations: dict[str, Registration] = {}
        self._grace_until_ms: dict[str, int] = {}
        self._listed: dict[str, ListEntry] = {}
        self._entries: tuple[ListEntry, ...] | None = None  # Cached until an entry changes.

    def apply(
        self,
        values: Mapping[str, Registration | None],
        is_snapshot: bool,
        now_ms: int,
        store_recovered_ms: int | None = None,
    ) -> None:
        """Apply changes, or all entries at once if `is_snapshot`; `None` removes an entry."""
        removed = {name for name, value in values.items() if value is None}
        if is_snapshot:
            removed |= self._registrations.keys() - values.keys()
        grace_until_ms = (
            0 if store_recovered_ms is None else store_recovered_ms + STORE_RECOVERY_GRACE_MS
        )
        for name in removed:
            known = self._registrations.get(name)
            if known is None:
                continue
            if now_ms < grace_until_ms and not known.is_leaving:
                self._grace_until_ms[name] = grace_until_ms
            else:
                self._remove(name)
                self._grace_until_ms.pop(name, None)
        for name, value in values.items():
            if value is None:
                continue
            self._grace_until_ms.pop(name, None)
            if self._registrations.get(name) != value:
                self._registrations[name] = value
                self._listed[name] = _entry(value)
                self._entries = None

    def expire(self, now_ms: int) -> None:
        """Remove the upstreams that are still missing at the end of their grace period."""
        for name, until_ms in list(self._grace_until_ms.items()):
            if now_ms >= until_ms:
                del self._grace_until_ms[name]
                self._remove(name)

    def _remove(self, name: str) -> None:
        del self._registrations[name], self._listed[name]
        self._entries = None

    def entries(self) -> tuple[ListEntry, ...]:
        """Return the registered upstreams, sorted by id.

        The tuple and each of its entries stay the same objects as long as they do not change.
        """
        if self._entries is None:
            self._entries = tuple(self._listed[name] for name in sorted(self._listed))
        return self._entries


def _entry(item: Registration) -> ListEntry:
    return ListEntry(
        id=item.upstream_id,
        kind=MemberKind.RUNNER,
        address=item.address,
        data_centre=item.data_centre,
        state=ListedState.LEAVING if item.is_leaving else ListedState.LIVE,
        models=(item.service,),
        boot_ms=item.boot_ms,
    )
