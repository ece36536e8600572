"""Suspects and quarantined fingerprints, and the upstreams that a suspect may use."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from ..membership import rendezvous_score
from .messages import Clearance, Death, QuarantineEntry, Suspicion

# Suspicions and quarantine end after this time.
WINDOW_MS = 3_600_000
# A suspect that nobody sends again keeps its upstream from later suspects no longer than this.
RESERVATION_MS = 60_000
DEATHS_TO_QUARANTINE = 2
MAX_FINGERPRINTS = 20_000


@dataclass
class _Suspect:
    deaths: dict[Death, int] = field(default_factory=dict)  # Time of the suspicion.
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
    """Keep the suspicions of all instances and derive the quarantine from them.

    Every instance that knows the same suspicions and clearances holds the same quarantine.

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
        self._of_death: dict[Death, set[str]] = {}

    def upstream_died(
        self, death: Death, in_flight: Iterable[str], at_ms: int
    ) -> tuple[tuple[Suspicion, ...], tuple[QuarantineEntry, ...]]:
        """Suspect the requests that were in flight.

        Returns the suspicions to tell all instances and the entries that are new in quarantine.
        """
        suspicions = tuple(Suspicion(name, death, at_ms) for name in sorted(set(in_flight)))
        return suspicions, self.merge(suspicions, ())

    def merge(
        self, suspicions: Iterable[Suspicion], clearances: Iterable[Clearance]
    ) -> tuple[QuarantineEntry, ...]:
        """Merge what another instance reports and return the entries new in quarantine."""
        for clearance in clearances:
            self._clear(clearance)
        entries = []
        for suspicion in suspicions:
            suspect = self._suspect(suspicion.fingerprint)
            if suspect is None:
                continue
            suspect.deaths.setdefault(suspicion.death, suspicion.at_ms)
            self._of_death.setdefault(suspicion.death, set()).add(suspicion.fingerprint)
            deaths = suspect.open_deaths
            if len(deaths) >= DEATHS_TO_QUARANTINE and suspect.quarantined_until_ms is None:
                suspect.quarantined_until_ms = suspicion.at_ms + self._window_ms
                entries.append(
                    QuarantineEntry(suspicion.fingerprint, deaths, suspect.quarantined_until_ms)
                )
        return tuple(entries)

    def _suspect(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None and len(self._suspects) < MAX_FINGERPRINTS:
            suspect = self._suspects[fingerprint] = _Suspect()
        return suspect

    def _clear(self, clearance: Clearance) -> None:
        suspect = self._suspect(clearance.fingerprint)
        if suspect is not None:
            # The clearance may arrive before the suspicion, and has to win all the same.
            for death in clearance.deaths:
                suspect.cleared[death] = clearance.at_ms
            if len(suspect.open_deaths) < DEATHS_TO_QUARANTINE:
                suspect.quarantined_until_ms = None

    def completed(self, fingerprint: str, now_ms: int) -> Clearance | None:
        """Clear a suspect that completed; returns what to tell all instances.

        A quarantined fingerprint stays in quarantine until it expires or an operator lifts it.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.open_deaths or self.is_quarantined(fingerprint, now_ms):
            return None
        clearance = Clearance(fingerprint, suspect.open_deaths, now_ms)
        self._clear(clearance)
        return clearance

    def fold(self, record: QuarantineEntry | Clearance) -> None:
        """Merge a record of the stream `quarantine`, in log order."""
        if isinstance(record, Clearance):
            self._clear(record)
            return
        suspect = self._suspect(record.fingerprint)
        if suspect is None:
            return
        for death in record.deaths:
            suspect.deaths.setdefault(death, record.expires_ms - self._window_ms)
            self._of_death.setdefault(death, set()).add(record.fingerprint)
        if len(suspect.open_deaths) >= DEATHS_TO_QUARANTINE:
            known_ms = suspect.quarantined_until_ms or 0
            suspect.quarantined_until_ms = max(known_ms, record.expires_ms)

    def lift(self, fingerprint: str, now_ms: int) -> Clearance | None:
        """Return the clearance that ends a quarantine, `None` if there is none.

        It takes effect when it is merged or folded.
        """
        if not self.is_quarantined(fingerprint, now_ms):
            return None
        return Clearance(fingerprint, self._suspects[fingerprint].open_deaths, now_ms)

    def has_died(self, upstream_id: str, boot_id: str) -> bool:
        """Return whether a suspicion names this boot of an upstream."""
        return Death(upstream_id, boot_id) in self._of_death

    def is_quarantined(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether requests with this fingerprint are refused."""
        suspect = self._suspects.get(fingerprint)
        until_ms = suspect.quarantined_until_ms if suspect else None
        return until_ms is not None and now_ms < until_ms

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint is under a suspicion that was not cleared."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.open_deaths)

    def allowed_upstreams(
        self,
        fingerprint: str,
        upstream_ids: Collection[str],
        now_ms: int,
        in_flight: Mapping[str, Collection[str]] | None = None,
    ) -> tuple[str, ...]:
        """Return the upstreams that a request may use; none means that a suspect has to wait.

        Instances agree on the upstream of each suspect of one death without exchanging messages:
        the suspects in id order are dealt to the upstreams in an order fixed by the death. If there
        are more suspects than upstreams, the later ones wait until the earlier ones are cleared.
        `in_flight` holds the fingerprints that this instance has on each upstream.
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
        names = sorted(self._of_death[death])
        position = names.index(fingerprint)
        for other in range(position % len(order), position, len(order)):
            if self._reserves(names[other], death, now_ms):
                return ()
        chosen = order[position % len(order)]
        neighbours = (in_flight or {}).get(chosen, ())
        if any(name != fingerprint and self._is_open(name, death) for name in neighbours):
            return ()
        return (chosen,)

    def _is_open(self, fingerprint: str, death: Death) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and death in suspect.open_deaths

    def _reserves(self, fingerprint: str, death: Death, now_ms: int) -> bool:
        if not self._is_open(fingerprint, death) or self.is_quarantined(fingerprint, now_ms):
            return False
        return now_ms - self._suspects[fingerprint].deaths[death] < RESERVATION_MS

    def entries(self, now_ms: int) -> tuple[QuarantineEntry, ...]:
        """Return the fingerprints in quarantine, sorted."""
        return tuple(
            QuarantineEntry(name, suspect.open_deaths, suspect.quarantined_until_ms or 0)
            for name, suspect in sorted(self._suspects.items())
            if self.is_quarantined(name, now_ms)
        )

    def suspicions(self) -> tuple[Suspicion, ...]:
        """Return all suspicions that were not cleared, for an instance that has just started."""
        return tuple(
            Suspicion(name, death, suspect.deaths[death])
            for name, suspect in sorted(self._suspects.items())
            for death in suspect.open_deaths
        )

    def expire(self, now_ms: int) -> None:
        """Forget suspects, clearances and quarantine entries whose time is over."""
        for name, suspect in list(self._suspects.items()):
            until_ms = suspect.quarantined_until_ms
            if until_ms is not None and now_ms < until_ms:
                continue
            old_ms = now_ms - self._window_ms
            if until_ms is not None or suspect.last_ms <= old_ms:
                del self._suspects[name]
                for death in suspect.deaths:
                    members = self._of_death.get(death, set())
                    members.discard(name)
                    if not members:
                        self._of_death.pop(death, None)
