"""Upstreams that register themselves in the platform's store."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .entries import ListedState, ListEntry, MemberKind

# Upstreams whose entries expired during a store outage register again within about two seconds
# after the store has recovered. Entries that are still missing after that are removed.
STORE_RECOVERY_GRACE_MS = 1_900
# Time for which a restored store's entry is ignored that is older than what is known of its upstream. If the
# upstream is gone, the store removes the entry after three heartbeats of silence.
RESTORED_ENTRY_GRACE_MS = 4_000
# Time for which a removed upstream is remembered. Copies from which a store is restored are some seconds old.
REMOVAL_MEMORY_MS = 60_000
# Difference between two statements of the end of an upstream's cold time that does not count as a
# change: entries are read with a delay.
COUNTDOWN_TOLERANCE_MS = 500


@dataclass(frozen=True)
class Registration:
    """Data that an upstream registers about itself."""

    upstream_id: str
    service: str
    address: str
    data_centre: str
    is_leaving: bool = False
    boot_ms: int | None = None  # Unix time of its start; identifies the process.
    # Time for which it stays cold, if it states that. It decreases with each heartbeat, so that it is
    # compared by `ColdCountdowns`.
    cold_remaining_ms: int | None = field(default=None, compare=False)


class ColdCountdowns:
    """Tell whether the cold times that upstreams state are those of a countdown that is known.

    >>> countdowns = ColdCountdowns()
    >>> countdowns.apply("r1", 3_000, now_ms=0), countdowns.apply("r1", 1_800, now_ms=1_250)
    (True, False)
    >>> countdowns.apply("r1", 2_900, now_ms=2_400), countdowns.apply("r1", 0, now_ms=5_400)
    (True, False)
    """

    def __init__(self) -> None:
        self.until_ms: dict[str, int] = {}  # Without upstreams that never were cold.

    def apply(self, name: str, left_ms: int, now_ms: int) -> bool:
        """Apply a statement, and return whether it differs from the known countdown."""
        known_ms = self.until_ms.get(name, now_ms)
        until_ms = now_ms + left_ms
        if abs(max(known_ms, now_ms) - until_ms) <= COUNTDOWN_TOLERANCE_MS:
            return False
        self.until_ms[name] = until_ms
        return True


class RegistrationTable:
    """Table of the registered upstreams.

    An upstream whose entry disappears shortly after the store has recovered is kept until
    `STORE_RECOVERY_GRACE_MS` after the recovery, because the entry may have expired only because
    the store could not accept heartbeats. The entries of a store that was restored from a copy do not
    bring back upstreams that have left since, or were about to leave.
    """

    def __init__(self) -> None:
        self._registrations: dict[str, Registration] = {}
        self._grace_until_ms: dict[str, int] = {}
        # Each with the time of its removal.
        self._removed: dict[str, tuple[Registration, int]] = {}
        # Each with the time until which it is ignored.
        self._outdated: dict[str, tuple[Registration, int]] = {}
        self._listed: dict[str, ListEntry] = {}
        self._entries: tuple[ListEntry, ...] | None = None  # Cached until an entry changes.
        self._countdowns = ColdCountdowns()

    def apply(
        self,
        values: Mapping[str, Registration | None],
        is_snapshot: bool,
        now_ms: int,
        store_recovered_ms: int | None = None,
        is_restored: bool = False,
    ) -> None:
        """Apply changes, or all entries at once if `is_snapshot`; `None` removes an entry.

        `is_restored` states that they are those of a store that was restored since the last ones.
        """
        removed = {name for name, value in values.items() if value is None}
        if is_snapshot:
            removed |= self._registrations.keys() - values.keys()
            self._outdated.clear()
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
                self._remove(name, now_ms)
                self._grace_until_ms.pop(name, None)
        for name, value in values.items():
            self._outdated.pop(name, None)
            if value is None:
                continue
            if is_restored and self._is_outdated(name, value):
                self._outdated[name] = (value, now_ms + RESTORED_ENTRY_GRACE_MS)
                continue
            self._grace_until_ms.pop(name, None)
            self._removed.pop(name, None)
            is_changed = self._registrations.get(name) != value
            left_ms = value.cold_remaining_ms
            if left_ms is not None and self._countdowns.apply(name, left_ms, now_ms):
                is_changed = True
            if is_changed:
                self._registrations[name] = value
                cold_until_ms = self._countdowns.until_ms.get(name, 0)
                self._listed[name] = _entry(value, None if left_ms is None else cold_until_ms)
                self._entries = None

    def _is_outdated(self, name: str, value: Registration) -> bool:
        """Return whether an entry is older than what is known of the same process of an upstream."""
        known = self._registrations.get(name)
        if known is None and name in self._removed:
            known, _ = self._removed[name]
        elif known is None or not known.is_leaving or value.is_leaving:
            return False
        return (known.boot_ms, known.address) == (value.boot_ms, value.address)

    def expire(self, now_ms: int) -> None:
        """Remove the upstreams that are still missing at the end of their grace period.

        Entries that were ignored apply if they have neither been changed nor removed meanwhile.
        """
        for name, until_ms in list(self._grace_until_ms.items()):
            if now_ms >= until_ms:
                del self._grace_until_ms[name]
                self._remove(name, now_ms)
        for name, (value, until_ms) in list(self._outdated.items()):
            if now_ms >= until_ms:
                self.apply({name: value}, is_snapshot=False, now_ms=now_ms)
        for name, (_, removed_ms) in list(self._removed.items()):
            if now_ms >= removed_ms + REMOVAL_MEMORY_MS:
                del self._removed[name]

    def _remove(self, name: str, now_ms: int) -> None:
        self._removed[name] = (self._registrations[name], now_ms)
        del self._registrations[name], self._listed[name]
        self._countdowns.until_ms.pop(name, None)
        self._entries = None

    def entries(self) -> tuple[ListEntry, ...]:
        """Return the registered upstreams, sorted by id.

        The tuple and each of its entries stay the same objects as long as they do not change.
        """
        if self._entries is None:
            self._entries = tuple(self._listed[name] for name in sorted(self._listed))
        return self._entries


def _entry(item: Registration, cold_until_ms: int | None) -> ListEntry:
    return ListEntry(
        id=item.upstream_id,
        kind=MemberKind.RUNNER,
        address=item.address,
        data_centre=item.data_centre,
        state=ListedState.LEAVING if item.is_leaving else ListedState.LIVE,
        models=(item.service,),
        boot_ms=item.boot_ms,
        cold_until_ms=cold_until_ms,
    )
