"""KV memory and prefix cache of the engine stand-in."""

import hashlib
import time
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

# Size of a block of the prefix cache. A prefix is identified by the BLAKE2b digest (8 bytes) of the
# prompt's UTF-8 text up to the end of a block.
BLOCK_CHARACTERS = 4_096
BLOCK_TOKENS = 1_024
MAX_EVENTS = 20_000


def prefix_hashes(prompt: str) -> list[str]:
    """Return one hash per complete block of the prompt, longest prefix last."""
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        digest.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        hashes.append(digest.hexdigest())
    return hashes


@dataclass
class Handle:
    """A memory reservation that persists beyond a request until it is deleted."""

    tokens: int
    state: str = "reserved"
    source: str = ""


class CacheEvents:
    """Events about changes of the prefix cache, which can be delayed and lost."""

    def __init__(self) -> None:
        self.next_seq = 0
        self.events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MAX_EVENTS)

    def add(self, op: str, prefix_hash: str, tokens: int, delay_ms: float, gap_every: int) -> None:
        """Append an event; every `gap_every`-th event is lost, but its sequence number is used."""
        seq = self.next_seq
        self.next_seq += 1
        if gap_every and seq % gap_every == gap_every - 1:
            return
        event = {"seq": seq, "op": op, "prefix_hash": prefix_hash, "tokens": tokens}
        self.events.append((time.monotonic() + delay_ms / 1000, event))

    def read(self, start: int) -> dict[str, Any]:
        """Return the visible events, starting at sequence number `start`."""
        now = time.monotonic()
        shown = [event for visible_at, event in self.events if visible_at <= now]
        next_seq = shown[-1]["seq"] + 1 if shown else 0
        return {"events": [event for event in shown if event["seq"] >= start], "next_seq": next_seq}


class Memory:
    """Accounting of the engine's KV memory, in tokens.

    The prefix cache uses the memory that requests and handles don't, and is evicted when they need
    it.
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
        """Return the number of tokens that requests and handles use."""
        return self.request_tokens + sum(handle.tokens for handle in self.handles.values())

    def fits(self, tokens: int) -> bool:
        """Return whether there is memory for this number of additional tokens."""
        return self.used + tokens <= self.total

    def allocate(self, tokens: int) -> None:
        """Allocate memory for a request."""
        self.request_tokens += tokens
        self._evict()

    def free(self, tokens: int) -> None:
        """Free the memory of a request."""
        self.request_tokens -= tokens

    def reserve(self, handle: str, tokens: int, state: str, source: str = "") -> bool:
        """Reserve memory under a handle; return whether it fits.

        The call is idempotent: a known handle only gets its state and source updated.
        """
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
        """Return the length of the longest cached prefix and mark its blocks as recently used."""
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
