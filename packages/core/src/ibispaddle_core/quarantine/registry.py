"""Registry of suspect and quarantined fingerprints, and the upstreams that a suspect may use."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from ..membership import rendezvous_score
from .messages import Clearance, Death, QuarantineEntry, Suspicion

# Suspicions and quarantine entries expire after this time.
WINDOW_MS = 3_600_000
# Time for which an upstream stays reserved for a suspect that is not sent again.
RESERVATION_MS = 60_000
DEATHS_TO_QUARANTINE = 2
MAX_FINGERPRINTS = 20_000


@dataclass
class _Suspect:
    deaths: dict[Death, int] = field(default_factory=dict)  # With the time of the suspicion.
    cleared: dict[Death, int] = field(default_factory=dict)
    quarantined_until_ms: int | None = None

    @property
    def open_deaths(self) -> tuple[Death, ...]:
        return tuple(sorted(death for death in self.deaths if death not in self.cleared))

    @property
    def last_ms(self) -> int:
        times = [*self.deaths.values(), *self.cleared.values(), self.quarantined_until_ms or 0]
        return max(times, default=0)


class Quarantine:
    """Collect the suspicions of all instances and derive the quarantined fingerprints from them.

    Instances with the same suspicions and clearances derive the same quarantine.

    >>> quarantine = Quarantine()
    >>> _ = quarantine.upstream_died(Death("r1", "x"), ["f"], at_ms=0)
    >>> quarantine.is_quarantined("f", now_ms=1)
    False
    >>> _ = quarantine.upstream_died(Death("r2", "y"), ["f"], at_ms=2)
    >>> quarantine.is_quarantined("f", now_ms=3)
    True
    """

    def __init__(self, window_ms: int = WINDOW_MS) -> None:
        self._window_ms = window_ms
        self._suspects: dict[str, _Suspect] = {}
        self._suspects_by_death: dict[Death, set[str]] = {}

    def upstream_died(
        self, death: Death, in_flight: Iterable[str], at_ms: int
    ) -> tuple[tuple[Suspicion, ...], tuple[QuarantineEntry, ...]]:
        """Record the requests that were in flight as suspects.

        Returns the suspicions to send to all instances and the new quarantine entries.
        """
        suspicions = tuple(Suspicion(name, death, at_ms) for name in sorted(set(in_flight)))
        return suspicions, self.merge(suspicions, ())

    def merge(
        self, suspicions: Iterable[Suspicion], clearances: Iterable[Clearance]
    ) -> tuple[QuarantineEntry, ...]:
        """Merge reports of another instance and return the new quarantine entries."""
        for clearance in clearances:
            self._clear(clearance)
        entries = []
        for suspicion in suspicions:
            suspect = self._get_or_add(suspicion.fingerprint)
            if suspect is None:
                continue
            suspect.deaths.setdefault(suspicion.death, suspicion.at_ms)
            self._suspects_by_death.setdefault(suspicion.death, set()).add(suspicion.fingerprint)
            deaths = suspect.open_deaths
            if len(deaths) >= DEATHS_TO_QUARANTINE and suspect.quarantined_until_ms is None:
                suspect.quarantined_until_ms = suspicion.at_ms + self._window_ms
                entries.append(
                    QuarantineEntry(suspicion.fingerprint, deaths, suspect.quarantined_until_ms)
                )
        return tuple(entries)

    def _get_or_add(self, fingerprint: str) -> _Suspect | None:
        """Return the suspect, or None if the registry is full."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None and len(self._suspects) < MAX_FINGERPRINTS:
            suspect = self._suspects[fingerprint] = _Suspect()
        return suspect

    def _clear(self, clearance: Clearance) -> None:
        suspect = self._get_or_add(clearance.fingerprint)
        if suspect is not None:
            # A clearance may arrive before its suspicion and takes precedence even then.
            for death in clearance.deaths:
                suspect.cleared[death] = clearance.at_ms
            if len(suspect.open_deaths) < DEATHS_TO_QUARANTINE:
                suspect.quarantined_until_ms = None

    def completed(self, fingerprint: str, now_ms: int) -> Clearance | None:
        """Clear a suspect that completed and return the clearance to send to all instances.

        A fingerprint in quarantine is not cleared; its entry expires or is lifted by an operator.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.open_deaths or self.is_quarantined(fingerprint, now_ms):
            return None
        clearance = Clearance(fingerprint, suspect.open_deaths, now_ms)
        self._clear(clearance)
        return clearance

    def fold(self, record: QuarantineEntry | Clearance) -> None:
        """Apply a record of the `quarantine` stream; records must be applied in log order."""
        if isinstance(record, Clearance):
            self._clear(record)
            return
        suspect = self._get_or_add(record.fingerprint)
        if suspect is None:
            return
        for death in record.deaths:
            suspect.deaths.setdefault(death, record.expires_ms - self._window_ms)
            self._suspects_by_death.setdefault(death, set()).add(record.fingerprint)
        if len(suspect.open_deaths) >= DEATHS_TO_QUARANTINE:
            until_ms = suspect.quarantined_until_ms or 0
            suspect.quarantined_until_ms = max(until_ms, record.expires_ms)

    def lift(self, fingerprint: str, now_ms: int) -> Clearance | None:
        """Return the clearance that lifts a quarantine, or None if there is no such quarantine.

        The clearance takes effect when it is merged or folded.
        """
        if not self.is_quarantined(fingerprint, now_ms):
            return None
        return Clearance(fingerprint, self._suspects[fingerprint].open_deaths, now_ms)

    def has_died(self, upstream_id: str, boot_id: str) -> bool:
        """Return whether any suspicion refers to a crash of this boot of an upstream."""
        return Death(upstream_id, boot_id) in self._suspects_by_death

    def is_quarantined(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether requests with this fingerprint are refused."""
        suspect = self._suspects.get(fingerprint)
        until_ms = suspect.quarantined_until_ms if suspect else None
        return until_ms is not None and now_ms < until_ms

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint has a suspicion that has not been cleared."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.open_deaths)

    def allowed_upstreams(
        self,
        fingerprint: str,
        upstream_ids: Collection[str],
        now_ms: int,
        in_flight: Mapping[str, Collection[str]] | None = None,
    ) -> tuple[str, ...]:
        """Return the upstreams that a request may use; if there are none, a suspect must wait.

        Instances assign the same upstream to each suspect of a crash without exchanging messages: the
        suspects, sorted by fingerprint, are assigned round-robin to the upstreams in an order that is
        derived from the crash. If there are more suspects than upstreams, the later ones wait until the
        earlier ones are cleared. `in_flight` maps each upstream to the fingerprints that this instance
        has in flight on it.
        """
        suspect = self._suspects.get(fingerprint)
        deaths = suspect.open_deaths if suspect else ()
        if not deaths or not upstream_ids:
            return tuple(upstream_ids)
        death = deaths[-1]
        order = sorted(
            upstream_ids,
            key=lambda name: (rendezvous_score(f"{death.upstream_id}/{death.boot_id}", name), name),
        )
        names = sorted(self._suspects_by_death[death])
        position = names.index(fingerprint)
        for other in range(position % len(order), position, len(order)):
            if self._has_reservation(names[other], death, now_ms):
                return ()
        chosen = order[position % len(order)]
        running = (in_flight or {}).get(chosen, ())
        if any(name != fingerprint and self._is_open(name, death) for name in running):
            return ()
        return (chosen,)

    def _is_open(self, fingerprint: str, death: Death) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and death in suspect.open_deaths

    def _has_reservation(self, fingerprint: str, death: Death, now_ms: int) -> bool:
        if not self._is_open(fingerprint, death) or self.is_quarantined(fingerprint, now_ms):
            return False
        return now_ms - self._suspects[fingerprint].deaths[death] < RESERVATION_MS

    def entries(self, now_ms: int) -> tuple[QuarantineEntry, ...]:
        """Return the quarantine entries, sorted by fingerprint."""
        return tuple(
            QuarantineEntry(name, suspect.open_deaths, suspect.quarantined_until_ms or 0)
            for name, suspect in sorted(self._suspects.items())
            if self.is_quarantined(name, now_ms)
        )

    def suspicions(self) -> tuple[Suspicion, ...]:
        """Return all suspicions that have not been cleared, for an instance that has just started."""
        return tuple(
            Suspicion(name, death, suspect.deaths[death])
            for name, suspect in sorted(self._suspects.items())
            for death in suspect.open_deaths
        )

    def expire(self, now_ms: int) -> None:
        """Remove expired suspects, clearances and quarantine entries."""
        for name, suspect in list(self._suspects.items()):
            until_ms = suspect.quarantined_until_ms
            if until_ms is not None and now_ms < until_ms:
                continue
            old_ms = now_ms - self._window_ms
            if until_ms is not None or suspect.last_ms <= old_ms:
                del self._suspects[name]
                for death in suspect.deaths:
                    members = self._suspects_by_death.get(death, set())
                    members.discard(name)
                    if not members:
                        self._suspects_by_death.pop(death, None)
