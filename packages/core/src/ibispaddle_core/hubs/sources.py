"""Selection of the instance from which another one reads the store's topics."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random

from .ranking import HubRanking

# Time for which an instance that does not respond is not queried.
EXCLUSION_MS = 3_000
# The same for a hub that states no era of the store. It runs an earlier release until its process is replaced.
ERALESS_EXCLUSION_MS = 60_000
# The same for a hub without recent data. It answers at once if the store is unavailable to it.
STALE_EXCLUSION_MS = 1_000
# Number of hubs without recent data from which the store is considered unavailable to all.
MAX_STALE_HUBS = 16
# Number of unresponsive hubs from which an instance reads the store itself.
MAX_DEAD_HUBS = 3
# Number of instances, the first ones by rank, that keep reading the store while it is unavailable to them.
MAX_SEARCHING_READERS = 3
# Number of instances, the first ones by rank and a random sample of the others, that an instance asks to
# which the store is unavailable.
MAX_RANKED_SUBSTITUTES = 8
MAX_SAMPLED_SUBSTITUTES = 8
# Time for which an instance reads the store before it takes overdue data as a sign that the store is behind.
MIN_READING_MS = 500
# Pause of a search after a round in which no instance had recent data, doubled with each further one.
MIN_SEARCH_PAUSE_MS = 100
# Bounds of the longest such pause, and its length by the size of the fleet, since all its instances may ask the
# first ones by rank.
MIN_LONGEST_PAUSE_MS = 200
MAX_LONGEST_PAUSE_MS = 1_600
LONGEST_PAUSE_MS_PER_INSTANCE = 20
# The pause after a round in which only instances that are cut off as well had recent data.
SECONDHAND_PAUSE_MS = 400
# Number of instances to which a hub connects at once, which bounds its attempts to reach those that are gone.
MAX_CONNECTIONS_AT_ONCE = 16


@dataclass(frozen=True)
class Source:
    """Where an instance reads the store's topics: from another instance, or from the store itself.

    A substitute is any instance that is queried because the store is unavailable to this one. The first
    instances by rank read the store all the same.
    """

    instance_id: str | None = None
    is_substitute: bool = False
    reads_store: bool = False


class _Search:
    """A search for an instance that has recent data, whatever its rank, in rounds with pauses."""

    def __init__(self, sample: Collection[str], max_pause_ms: int) -> None:
        self.sample = sample
        self.found: str | None = None  # The instance that has recent data.
        self.asked_in_vain = 0  # Since the last instance with recent data.
        self.next_round_ms = 0
        self._max_pause_ms = max_pause_ms
        self._pause_ms = MIN_SEARCH_PAUSE_MS
        self._asked: set[str] = set()  # In this round.

    def next_candidate(self, names: Collection[str], is_data_old: bool, now_ms: int) -> str | None:
        """Return the instance to ask now, or None between two rounds."""
        if self.found in names:
            return self.found
        if now_ms < self.next_round_ms:
            return None
        name = next((name for name in names if name not in self._asked), None)
        if name is None:
            self._asked.clear()
            pause_ms = self._pause_ms if is_data_old else SECONDHAND_PAUSE_MS
            self._pause_ms = min(self._max_pause_ms, 2 * self._pause_ms)
            self.next_round_ms = now_ms + pause_ms
        return name

    def skip(self, name: str) -> None:
        """Leave out an instance that has no recent data, or is cut off as well, until the next round."""
        self.asked_in_vain += 1
        self._asked.add(name)
        if self.found == name:
            self.found = None

    def succeed(self, name: str) -> None:
        """Record that an instance has recent data."""
        self.found, self.asked_in_vain = name, 0
        self._pause_ms = MIN_SEARCH_PAUSE_MS
        self._asked.clear()


class SourceSelection:
    """Select the source of an instance's data; it stays the same while it has recent data.

    In normal operation this is a hub of a higher rank, or the store if there is none, so that hubs never
    wait for each other. If the store is unavailable to the instance, any other instance may be the
    source. The age of the data is never underestimated, so instances that query each other do
    no harm.

    >>> from ibispaddle_core.hubs import Candidate
    >>> ranking = HubRanking("a")
    >>> ranking.replace_candidates([Candidate("a", "x:1", capacity=2.0), Candidate("b", "x:2")])
    >>> selection = SourceSelection(ranking)
    >>> selection.choose(0, is_store_unavailable=False, is_data_old=False)
    Source(instance_id=None, is_substitute=False, reads_store=True)
    >>> selection.choose(0, is_store_unavailable=True, is_data_old=True)
    Source(instance_id='b', is_substitute=True, reads_store=True)
    """

    def __init__(self, ranking: HubRanking) -> None:
        self._ranking = ranking
        self._rng = Random(f"sources/{ranking.instance_id}")
        self._dead_until_ms: dict[str, int] = {}
        self._stale_until_ms: dict[str, int] = {}
        self._eraless_until_ms: dict[str, int] = {}
        self._search: _Search | None = None
        self._connection_attempts: dict[str, int] = {}  # Since the instance was last connected.
        self.is_store_behind = False  # The store answers, but that does not keep the data recent.
        self.current = Source(reads_store=True)
        self._chosen_ms = 0  # Since when the source has been the current one.

    def choose(
        self,
        now_ms: int,
        is_store_unavailable: bool,
        is_data_old: bool,
        connected: Collection[str] = (),
        is_data_overdue: bool = False,
        is_read_recent: bool = True,
    ) -> Source:
        """Return the source to use now.

        `is_data_old` is whether the instance has no recent data. `connected` are instances that can be
        queried although they may not be listed. Data that is overdue is so old that reading the store
        itself for a while should have renewed it; a store that does not counts as unavailable until
        `is_read_recent`, which is whether its own answers have confirmed recent data.
        """
        is_reading = self.current == Source(reads_store=True)
        if is_data_overdue and is_reading and now_ms >= self._chosen_ms + MIN_READING_MS:
            self.is_store_behind = True
        elif is_read_recent:
            self.is_store_behind = False
        has_no_store = is_store_unavailable or self.is_store_behind
        dead = _pending(self._dead_until_ms, now_ms)
        stale = _pending(self._stale_until_ms, now_ms)
        eraless = _pending(self._eraless_until_ms, now_ms)
        hubs = self._ranking.hubs_before(now_ms, {*dead, *stale, *eraless})
        are_all_stale = len(stale) >= MAX_STALE_HUBS
        if len(dead) >= MAX_DEAD_HUBS:
            hubs = ()
        elif are_all_stale:
            hubs = self._ranking.hubs_before(now_ms, {*dead, *eraless})
        is_searching = self._search is not None
        if has_no_store and (is_data_old or not hubs or (are_all_stale and is_searching)):
            others = self._ranking.others()
            search = self._search = self._search or self._new_search(others)
            unlisted = sorted(set(connected).difference(others))
            names = dict.fromkeys((*others[:MAX_RANKED_SUBSTITUTES], *search.sample, *unlisted))
            # Those that did not respond, or had no recent data as hubs, come last.
            candidates = sorted(names, key=lambda name: (name in dead, name in stale))
            chosen = search.next_candidate(candidates, is_data_old, now_ms)
            # The first ones read the store as soon as it serves them again; others follow them.
            is_first = len(self._ranking.before(dead)) < MAX_SEARCHING_READERS
            reads_store = is_first or not is_store_unavailable
            return self._change_to(
                Source(chosen, is_substitute=True, reads_store=reads_store), now_ms
            )
        self._search, self.is_store_behind = None, False
        known = self.current.instance_id
        chosen = known if known in hubs else next(iter(hubs), None)
        return self._change_to(Source(chosen, reads_store=chosen is None), now_ms)

    def _change_to(self, source: Source, now_ms: int) -> Source:
        if source != self.current:
            self.current, self._chosen_ms = source, now_ms
        return source

    def _new_search(self, others: Sequence[str]) -> _Search:
        unranked = others[MAX_RANKED_SUBSTITUTES:]
        sample = self._rng.sample(unranked, min(MAX_SAMPLED_SUBSTITUTES, len(unranked)))
        pause_ms = min(MAX_LONGEST_PAUSE_MS, LONGEST_PAUSE_MS_PER_INSTANCE * len(others))
        return _Search(sample, max(MIN_LONGEST_PAUSE_MS, pause_ms))

    def unconnected(self, connected: Collection[str], now_ms: int) -> tuple[str, ...]:
        """Return the instances to connect to, as they may know no address under which to query this one.

        They are listed, but not `connected`. Only the first instance by rank that responds connects to
        others, those first to which it has tried to connect least often.

        >>> from ibispaddle_core.hubs import Candidate
        >>> ranking = HubRanking("a")
        >>> ranking.replace_candidates([Candidate("a", "x:1", capacity=2.0), Candidate("b", "x:2")])
        >>> SourceSelection(ranking).unconnected(connected=(), now_ms=0)
        ('b',)
        """
        if self._ranking.hubs_before(now_ms, _pending(self._dead_until_ms, now_ms)):
            self._connection_attempts.clear()
            return ()
        known = set(connected)
        names = [name for name in self._ranking.others() if name not in known]
        attempts = {name: self._connection_attempts.get(name, 0) for name in names}
        chosen = sorted(names, key=attempts.__getitem__)[:MAX_CONNECTIONS_AT_ONCE]
        self._connection_attempts = attempts | {name: attempts[name] + 1 for name in chosen}
        return tuple(chosen)

    @property
    def is_searching(self) -> bool:
        """Return whether the instance looks for one that has recent data, and has not found it yet."""
        return self._search is not None and self._search.found is None

    @property
    def fleet_size(self) -> int:
        """Return the number of listed instances."""
        return self._ranking.size

    def next_choice_ms(self, now_ms: int) -> int | None:
        """Return when another instance may be chosen although none is now, or None if that is open."""
        if self._search is not None:
            return self._search.next_round_ms
        ends_ms = (
            *self._stale_until_ms.values(),
            *self._dead_until_ms.values(),
            *self._eraless_until_ms.values(),
        )
        return min((end_ms for end_ms in ends_ms if now_ms < end_ms), default=None)

    def are_all_stale(self, now_ms: int) -> bool:
        """Return whether the store is considered unavailable to all."""
        return len(_pending(self._stale_until_ms, now_ms)) >= MAX_STALE_HUBS

    def mark_unresponsive(self, instance_id: str, now_ms: int) -> None:
        """Leave out an instance that did not respond."""
        self._dead_until_ms[instance_id] = now_ms + EXCLUSION_MS
        if self.current.is_substitute and self._search is not None:
            self._search.skip(instance_id)

    def mark_responsive(self, instance_id: str) -> None:
        """Stop leaving out an instance that responded."""
        self._dead_until_ms.pop(instance_id, None)

    def mark_stale(self, instance_id: str, now_ms: int) -> None:
        """Leave out an instance that has no recent data."""
        if self.current.is_substitute and self._search is not None:
            self._search.skip(instance_id)
        else:
            self._stale_until_ms[instance_id] = now_ms + STALE_EXCLUSION_MS

    def mark_eraless(self, instance_id: str, now_ms: int) -> None:
        """Leave out a hub that does not notice if the store is restored, since it runs an earlier release."""
        self._eraless_until_ms[instance_id] = now_ms + ERALESS_EXCLUSION_MS

    def mark_disconnected(self, instance_id: str) -> None:
        """Record that the connection to an instance was lost, whose process may have been replaced."""
        self._eraless_until_ms.pop(instance_id, None)

    def mark_recent(self, instance_id: str) -> int:
        """Record that an instance has recent data; return how many a search had asked in vain."""
        if not self.current.is_substitute or self._search is None:
            return 0
        asked = self._search.asked_in_vain
        self._search.succeed(instance_id)
        return asked


def _pending(until_ms: dict[str, int], now_ms: int) -> list[str]:
    return [name for name, end_ms in until_ms.items() if now_ms < end_ms]
