"""KV memory and prefix cache of the engine stand-in."""

import hashlib
import time
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

# Block of the prefix cache. The hash of a prefix is the BLAKE2b digest (8 bytes) of the prompt's
# UTF-8 text up to the end of a block.
BLOCK_CHARACTERS = 4_096
BLOCK_TOKENS = 1_024
MAX_EVENTS = 20_000


def prefix_hashes(prompt: str) -> list[str]:
    """Return one hash per whole block of the prompt, longest prefix last."""
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        digest.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        hashes.append(digest.hexdigest())
    return hashes


@dataclass
class Handle:
    """Memory that is held beyond a request until it is deleted."""

    tokens: int
    state: str = "reserved"
    source: str = ""


class CacheEvents:
    """Publish changes of the prefix cache late and, if asked for, with gaps."""

    def __init__(self) -> None:
        self.next_seq = 0
        self.events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MAX_EVENTS)

    def add(self, op: str, prefix_hash: str, tokens: int, delay_ms: float, gap_every: int) -> None:
        """Append an event; every `gap_every`-th is lost, but uses up its number."""
        seq = self.next_seq
        self.next_seq += 1
        if gap_every and seq % gap_every == gap_every - 1:
            return
        event = {"seq": seq, "op": op, "prefix_hash": prefix_hash, "tokens": tokens}
        self.events.append((time.monotonic() + delay_ms / 1000, event))

    def read(self, start: int) -> dict[str, Any]:
        """Return the events from number `start` on that are visible by now."""
        now = time.monotonic()
        shown = [event for visible_at, event in self.events if visible_at <= now]
        next_seq = shown[-1]["seq"] + 1 if shown else 0
        return {"events": [event for event in shown if event["seq"] >= start], "next_seq": next_seq}


class Memory:
    """Account for the engine's KV tokens.

    Requests and handles hold memory; the prefix cache uses what they leave and gives way to them.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.request_tokens = 0
        self.handles: dict[str, Handle] = {}
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.events = CacheEvents()
        self.event_delay_ms = 0.0
        self.event_gap_every = 0
        self.peak_used = 0

    @property
    def used(self) -> int:
        """Return the tokens held by requests and handles."""
        return self.request_tokens + sum(handle.tokens for handle in self.handles.values())

    def fits(self, tokens: int) -> bool:
        """Return whether so many more tokens can be held."""
        return self.used + tokens <= self.total

    def allocate(self, tokens: int) -> None:
        """Hold tokens for a request."""
        self.request_tokens += tokens
        self._evict()

    def free(self, tokens: int) -> None:
        """Free the tokens of a request."""
        self.request_tokens -= tokens

    def reserve(self, handle: str, tokens: int, state: str, source: str = "") -> bool:
        """Hold tokens under a handle; return whether they fit. Idempotent by handle."""
        known = self.handles.get(handle)
        if known is not None:
            known.state = state if state != "reserved" else known.state
            known.source = source or known.source
            return True
        if not self.fits(tokens):
            return False
        self.handles[handle] = Handle(tokens, state, source)
        self._evict()
        return True

    def cached_tokens(self, hashes: list[str]) -> int:
        """Return the tokens of the longest cached prefix and mark it as recently used."""
        cached = 0
        for prefix_hash in hashes:
            if prefix_hash not in self.cache:
                break
            self.cache.move_to_end(prefix_hash)
            cached += BLOCK_TOKENS
        return cached

    def add_to_cache(self, hashes: list[str]) -> None:
        """Add the blocks of a prompt to the cache."""
        for prefix_hash in hashes:
            if prefix_hash in self.cache:
                self.cache.move_to_end(prefix_hash)
                continue
            self.cache[prefix_hash] = BLOCK_TOKENS
            self._publish("add", prefix_hash, BLOCK_TOKENS)
        self._evict()

    def _evict(self) -> None:
        self.peak_used = max(self.peak_used, self.used)
        room = max(0, self.total - self.used)
        while len(self.cache) * BLOCK_TOKENS > room:
            prefix_hash, tokens = self.cache.popitem(last=False)
            self._publish("evict", prefix_hash, tokens)

    def _publish(self, op: str, prefix_hash: str, tokens: int) -> None:
        self.events.add(op, prefix_hash, tokens, self.event_delay_ms, self.event_gap_every)
