"""Persistence of the parts in quarantine, in a topic of the store that all instances read."""

import random
from collections.abc import Callable

import msgspec
from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.quarantine import PartQuarantined
from ibispaddle_core.topics import TopicUpdate

from ..fleet import TopicRelay
from ..forwarding import PartGuard
from ..logs import log_event
from ..timers import TimerQueue
from .codec import StoreCodec
from .follower import TopicFollower
from .writer import TopicWriter

TOPIC = "keyed.quarantine"
# Long-poll wait. A new entry ends it, and the instances also tell each other of new entries.
LONG_POLL_WAIT_MS = 10_000
READ_INTERVAL_MS = 400
# Delay after which an instance that is not responsible writes an entry that is still missing.
MIN_FALLBACK_DELAY_MS = 1_500
MAX_FALLBACK_DELAY_MS = 4_500
WRITE_RETRY_MS = 1_000


class QuarantineDirectory(BaseComponent):
    """Store the decisions of the part guard, and apply stored ones.

    Every instance makes or learns the same decisions. The one for which `is_responsible` is true writes
    them at once; the others only write what is not stored some seconds later. An operator lifts a
    quarantine by removing its key.
    """

    channel = "quarantine_directory"

    def __init__(
        self,
        url: str,
        codec: StoreCodec,
        guard: PartGuard,
        is_responsible: Callable[[], bool],
        clock: Clock,
        timers: TimerQueue,
        relay: TopicRelay,
    ) -> None:
        super().__init__()
        self._guard, self._is_responsible, self._timers = guard, is_responsible, timers
        self._clock, self._rng = clock, random.Random()
        self._stored: set[str] = set()
        self._writer = TopicWriter(TOPIC, url, codec, clock).register(self)
        TopicFollower(
            TOPIC,
            url,
            codec,
            LONG_POLL_WAIT_MS,
            READ_INTERVAL_MS,
            self._apply,
            clock,
            timers,
            relay,
            is_urgent=False,
        ).register(self)
        guard.on_decided.append(self._on_decided)

    def _apply(self, update: TopicUpdate) -> None:
        if update.is_snapshot:
            self._stored.clear()
        entries = []
        for key, value in update.values.items():
            if value is None:
                self._stored.discard(key)
                self._guard.lift(key)
                continue
            try:
                entry = msgspec.json.decode(value, type=PartQuarantined)
            except DECODE_ERRORS:
                log_event(logevents.ENTRY_UNREADABLE, key=key[:80], size=len(value))
                continue
            self._stored.add(key)
            if entry.expires_ms <= self._clock.wall_ms():
                # The instances that put it into quarantine have been replaced since.
                self._on_decided(frozenset(), frozenset((key,)))
                continue
            entries.append(msgspec.structs.replace(entry, part=key))
        if entries:
            self._guard.merge(entries)
        if update.is_restored:
            lost = self._guard.registry.quarantined_parts - self._stored
            self._on_decided(frozenset(lost), frozenset())

    def _on_decided(self, added: frozenset[str], released: frozenset[str]) -> None:
        for part in sorted(added | released):
            if self._is_responsible():
                self._write(part)
            else:
                delay_ms = self._rng.randint(MIN_FALLBACK_DELAY_MS, MAX_FALLBACK_DELAY_MS)
                self._write_after(delay_ms, part)

    def _write_after(self, delay_ms: int, part: str) -> None:
        self._timers.after(delay_ms, lambda: self._write(part))

    def _write(self, part: str) -> None:
        """Store the current state of a part, unless it is stored already."""
        entry = self._guard.entry(part)
        if (entry is not None) == (part in self._stored):
            return
        value = msgspec.json.encode(entry) if entry is not None else None
        self._writer.write(part, value, lambda: self._write_after(WRITE_RETRY_MS, part))
