"""Detection that an instance reaches no upstream, from attempts and probes.

A dead service or an upstream that is silent for a moment leaves contact with others. Behind a cut, all
upstreams are silent or broken, and connections that were opened before it may live on.
"""

import random
from collections.abc import Collection, Mapping, Sequence

# Different upstreams that must have been found unreachable since the last contact.
MIN_UNREACHABLE = 3
# An instance that had no contact for so long probes an upstream, with and without traffic. A probe takes
# some milliseconds of an upstream's time, and hundreds of instances may probe a few upstreams.
IDLE_PROBE_INTERVAL_MS = 1_000
# Time after a late response within which another one is no reason for probes. Busy upstreams are late
# again and again, and probes would add to their load.
SILENCE_PAUSE_MS = 5_000
# Minimum time between two rounds of probes because of a suspicion.
ROUND_INTERVAL_MS = 100
# Number of upstreams that a round covers, more than the minimum: many may be dead at the same time.
ROUND_SIZE = 6
# Maximum number of probes in a round; further services follow in the next one.
MAX_PROBES_PER_ROUND = 12
# While it is isolated, an instance probes so many upstreams in each interval.
ISOLATED_PROBE_INTERVAL_MS = 300
ISOLATED_PROBES = 2
# A probe whose outcome was not recorded within this time no longer counts as in flight.
PROBE_EXPIRY_MS = 1_500


class UpstreamReachability:
    """Decide from contacts and failures whether this instance reaches the upstreams.

    A contact is any byte of a response, and counts from the time at which its connection was opened.

    >>> reachability = UpstreamReachability(random.Random(1))
    >>> reachability.replace_upstreams({"a1": "a", "a2": "a", "b1": "b"})
    >>> [reachability.record_unreachable(name, now_ms=10) for name in ("a1", "a2", "b1")]
    [False, False, True]
    >>> reachability.record_contact("a2", now_ms=20), reachability.is_isolated
    (True, False)
    """

    def __init__(self, rng: random.Random, data_centre: str = "") -> None:
        self.is_isolated = False
        self._rng, self._data_centre = rng, data_centre
        self._services: Mapping[str, str] = {}
        self._data_centres: Mapping[str, str] = {}
        self._ids: tuple[str, ...] = ()
        self._unreachable: dict[str, int] = {}  # Start of the last failed try.
        # Upstreams that failed while others were reached; their failures prove nothing.
        self._broken: set[str] = set()
        self._probed_ms: dict[str, int] = {}  # Start of the probes in flight.
        self._contact_ms: int | None = None  # Opening of the newest connection with a contact.
        self._contact_id = ""
        self._second_contact_ms: int | None = None  # Likewise, of the other upstreams.
        self._isolated_ms = 0  # Start of the isolation.
        self._last_round_ms: int | None = None
        self._is_round_due = False
        self._silence_ms: int | None = None  # Time of the last late response that counted.
        self._turns: list[str] = []  # Upstreams still to be probed in turn while it is isolated.

    def replace_upstreams(
        self, services: Mapping[str, str], data_centres: Mapping[str, str] | None = None
    ) -> None:
        """Replace the upstreams: the service of each by its id, and its data centre."""
        self._services, self._data_centres = services, data_centres or {}
        self._ids = tuple(services)
        for names in (self._unreachable, self._probed_ms):
            for name in names.keys() - services.keys():
                del names[name]
        self._broken &= services.keys()

    def record_contact(self, upstream_id: str, now_ms: int, opened_ms: int | None = None) -> bool:
        """Record a byte of a response; return whether the isolation has ended.

        A connection that was opened before a cut may outlive it, so a contact settles only failures
        until `opened_ms`, when its connection was opened; None means now.
        """
        opened_ms = now_ms if opened_ms is None else opened_ms
        self._probed_ms.pop(upstream_id, None)
        if upstream_id not in self._services or self.is_isolated and opened_ms < self._isolated_ms:
            return False
        self._record_opening(upstream_id, opened_ms)
        if self.is_isolated:
            self._end()
            return True
        self._broken.discard(upstream_id)
        for name, started_ms in list(self._unreachable.items()):
            if started_ms <= opened_ms:
                del self._unreachable[name]
                if name != upstream_id:
                    self._broken.add(name)
        return False

    def record_unreachable(
        self, upstream_id: str, now_ms: int, started_ms: int | None = None
    ) -> bool:
        """Record that nobody was found at an upstream; return whether the isolation has begun.

        `started_ms` is the start of the try, if it is not that of a probe. A contact that is newer has
        shown that the fault is the upstream's.
        """
        probed_ms = self._probed_ms.pop(upstream_id, now_ms)
        started_ms = probed_ms if started_ms is None else started_ms
        if upstream_id not in self._services or self.is_isolated:
            return False
        if self._contact_ms is not None and started_ms <= self._contact_ms:
            self._broken.add(upstream_id)
            return False
        self._unreachable[upstream_id] = started_ms
        if upstream_id not in self._broken:
            self._is_round_due = True
        if not self._is_proved():
            return False
        self.is_isolated, self._isolated_ms = True, now_ms
        self._is_round_due = False
        self._last_round_ms = None
        return True

    def record_silence(self, upstream_id: str, now_ms: int) -> None:
        """Record that an upstream is late to respond, which proves nothing but is worth probes."""
        if upstream_id not in self._services or upstream_id in self._broken:
            return
        if self._silence_ms is None or now_ms - self._silence_ms >= SILENCE_PAUSE_MS:
            self._silence_ms = now_ms
            self._is_round_due = True

    def seek_contact(self) -> None:
        """Let a round of probes be due, also if there is no new suspicion."""
        self._is_round_due = not self.is_isolated

    def cancel_probe(self, upstream_id: str) -> None:
        """Record that the outcome of a probe is unknown."""
        self._probed_ms.pop(upstream_id, None)

    def reaches_others(self, upstream_id: str, since_ms: int) -> bool:
        """Return whether an upstream other than this one was reached since a time.

        A contact counts from the opening of its connection.

        >>> reachability = UpstreamReachability(random.Random(1))
        >>> reachability.replace_upstreams({"a": "s", "b": "s"})
        >>> reachability.record_contact("b", now_ms=20)
        False
        >>> reachability.reaches_others("a", 20), reachability.reaches_others("b", 20)
        (True, False)
        """
        is_newest = upstream_id == self._contact_id
        opened_ms = self._second_contact_ms if is_newest else self._contact_ms
        return opened_ms is not None and opened_ms >= since_ms

    @property
    def last_contact_ms(self) -> int:
        """Return when the newest connection with a contact was opened; 0 if there was none."""
        return self._contact_ms or 0

    def upstreams_to_probe(self, now_ms: int) -> tuple[str, ...]:
        """Return the upstreams to probe now; empty if no probe is due."""
        for name, started_ms in list(self._probed_ms.items()):
            if now_ms - started_ms >= PROBE_EXPIRY_MS:
                del self._probed_ms[name]
        elapsed_ms = None if self._last_round_ms is None else now_ms - self._last_round_ms
        if self.is_isolated:
            if elapsed_ms is not None and elapsed_ms < ISOLATED_PROBE_INTERVAL_MS:
                return ()
            chosen = self._choose_while_isolated()
        elif self._is_round_due or not self._broken.issuperset(self._unreachable):
            if elapsed_ms is not None and elapsed_ms < ROUND_INTERVAL_MS:
                return ()
            chosen = self._choose_round()
        else:
            last_ms = max(self._contact_ms or 0, self._last_round_ms or 0)
            if now_ms - last_ms < IDLE_PROBE_INTERVAL_MS:
                return ()
            chosen = self._sample(self._near(self._candidates()), 1)
        self._is_round_due = False
        self._last_round_ms = now_ms
        for name in chosen:
            self._probed_ms[name] = now_ms
        return tuple(chosen)

    def _record_opening(self, upstream_id: str, opened_ms: int) -> None:
        if self._contact_ms is None or opened_ms >= self._contact_ms:
            if upstream_id != self._contact_id:
                self._second_contact_ms = self._contact_ms
            self._contact_ms, self._contact_id = opened_ms, upstream_id
        elif upstream_id != self._contact_id:
            self._second_contact_ms = max(opened_ms, self._second_contact_ms or opened_ms)

    def _is_proved(self) -> bool:
        """Return whether enough upstreams failed that were sound, and no probe may contradict."""
        if self._probed_ms:
            return False
        sound_count = len(self._ids) - len(self._broken)
        if not sound_count:
            return len(self._unreachable) >= min(MIN_UNREACHABLE, len(self._ids))
        failed = self._unreachable.keys() - self._broken
        if len(failed) < min(MIN_UNREACHABLE, sound_count):
            return False
        services = {self._services[name] for name in self._ids if name not in self._broken}
        return services <= {self._services[name] for name in failed}

    def _end(self) -> None:
        self.is_isolated = self._is_round_due = False
        self._unreachable.clear()
        self._silence_ms = None
        self._last_round_ms = None

    def _candidates(self) -> list[str]:
        """Return the upstreams to probe at random: those that are not known as broken, if any."""
        free = [name for name in self._ids if name not in self._probed_ms]
        return [name for name in free if name not in self._broken] or free

    def _near(self, names: list[str]) -> list[str]:
        """Return those of the own data centre, if any."""
        return [n for n in names if self._data_centres.get(n) == self._data_centre] or names

    def _choose_while_isolated(self) -> list[str]:
        """Return an upstream that was sound before, and all in turn: the sound ones may be gone."""
        chosen = self._sample(self._candidates(), 1)
        if not self._turns:
            self._turns = self._sample(self._ids, len(self._ids))
        while self._turns and len(chosen) < ISOLATED_PROBES:
            name = self._turns.pop()
            if name in self._services and name not in chosen and name not in self._probed_ms:
                chosen.append(name)
        return chosen

    def _choose_round(self) -> list[str]:
        """Return upstreams of all services without a failure, and others up to the round's size."""
        settled = self._unreachable.keys() | self._probed_ms.keys()
        open_ids = [name for name in self._ids if name not in settled]
        self._rng.shuffle(open_ids)
        # Sound ones show soonest that this instance is not isolated.
        open_ids.sort(key=self._broken.__contains__)
        by_service: dict[str, list[str]] = {}
        for name in open_ids:
            by_service.setdefault(self._services[name], []).append(name)
        for name in settled:
            by_service.pop(self._services[name], None)
        data_centres = {self._data_centres.get(name, "") for name in settled}
        chosen: list[str] = []
        if self._contact_id in open_ids:
            chosen.append(self._take([self._contact_id], data_centres))
            by_service.pop(self._services[self._contact_id], None)
        for names in list(by_service.values())[:MAX_PROBES_PER_ROUND]:
            chosen.append(self._take(names, data_centres))
        while len(settled) + len(chosen) < min(ROUND_SIZE, len(self._ids)):
            rest = [name for name in open_ids if name not in chosen]
            chosen.append(self._take(rest, data_centres))
        return chosen

    def _take(self, names: Sequence[str], data_centres: set[str]) -> str:
        """Return an upstream, of a data centre that has none yet if there is one, and add its own."""
        others = (n for n in names if self._data_centres.get(n, "") not in data_centres)
        name = next(others, names[0])
        data_centres.add(self._data_centres.get(name, ""))
        return name

    def _sample(self, names: Collection[str], count: int) -> list[str]:
        return self._rng.sample(list(names), min(count, len(names)))
