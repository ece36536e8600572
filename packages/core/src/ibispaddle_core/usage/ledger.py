"""Counters of one instance, copies of other instances' counters, and their flush to the log.

All counters only grow and are merged by maximum, so a repeated, reordered or late message or
record changes nothing. The two rank successors of an instance hold a copy of its counters, and
every holder appends what it holds when the instance is gone.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .counters import (
    ZERO_COUNTS,
    Counts,
    UsageAck,
    UsageSync,
    instance_boot,
    split_instance_boot,
)

REPLICA_COUNT = 2
# Bounds a message to about 20 KB; a full copy of 620 workspaces takes four rounds.
MAX_SYNC_COUNTERS = 200
MAX_FLUSH_COUNTERS = 500
# The flush interval grows with the fleet so that all instances together append 39 records/s.
MIN_FLUSH_INTERVAL_MS = 2_000
FLUSH_INTERVAL_PER_INSTANCE_MS = 25.6


def flush_interval_ms(instances: int, minimum_ms: int = MIN_FLUSH_INTERVAL_MS) -> int:
    """Return the time between two flushes of one instance.

    >>> flush_interval_ms(9), flush_interval_ms(390)
    (2000, 9984)
    """
    return max(minimum_ms, int(instances * FLUSH_INTERVAL_PER_INSTANCE_MS))


@dataclass(frozen=True)
class Flush:
    """Hold one record for the stream `usage`; `token` identifies it until it is confirmed."""

    token: int
    data: dict[str, Any]


@dataclass
class _Account:
    """Hold the counters of one process and what the log is known to have of them."""

    counters: dict[str, Counts] = field(default_factory=dict)
    appended: dict[str, Counts] = field(default_factory=dict)
    held_upto: int = 0
    flushing: int | None = None

    def unflushed(self) -> dict[str, Counts]:
        found = {}
        for workspace, counts in self.counters.items():
            if counts != self.appended.get(workspace, ZERO_COUNTS):
                found[workspace] = counts
                if len(found) == MAX_FLUSH_COUNTERS:
                    break
        return found


class UsageLedger:
    """Count usage, copy it to the rank successors and flush it to the log.

    >>> ledger = UsageLedger("a", boot=1)
    >>> ledger.count("w", "n", prompt_tokens=10, generated_tokens=5, engine_ms=7)
    >>> ledger.next_flush().data
    {'instance_boot': 'a-1', 'counters': {'w': [1, 10, 5, 7]}}
    """

    def __init__(self, instance_id: str, boot: int) -> None:
        self.instance_boot = instance_boot(instance_id, boot)
        self._own = _Account()
        self._change = 0
        # Change number of each workspace, in ascending order: a changed workspace moves to the end.
        self._changes: dict[str, int] = {}
        self._acknowledged: dict[str, int] = {}
        self._held: dict[str, _Account] = {}
        self._tokens: dict[int, tuple[str, dict[str, Counts]]] = {}
        self._token = 0

    def count(
        self,
        workspace: str,
        neighbour: str,
        prompt_tokens: int,
        generated_tokens: int,
        engine_ms: float,
    ) -> None:
        """Count one request."""
        added = Counts(1, prompt_tokens, generated_tokens, round(engine_ms))
        counters = self._own.counters
        counters[workspace] = counters.get(workspace, ZERO_COUNTS).add(added)
        self._change += 1
        self._changes.pop(workspace, None)
        self._changes[workspace] = self._change

    @property
    def counters(self) -> dict[str, Counts]:
        """Return the own counters by workspace."""
        return dict(self._own.counters)

    def sync_for(self, peer_id: str) -> UsageSync | None:
        """Return what a holder lacks, `None` if it has everything."""
        base = self._acknowledged.get(peer_id, 0)
        if base >= self._change:
            return None
        pending: list[str] = []
        for workspace, change in reversed(self._changes.items()):
            if change <= base:
                break
            pending.append(workspace)
        pending = pending[::-1][:MAX_SYNC_COUNTERS]
        counters = tuple((name, self._own.counters[name]) for name in pending)
        return UsageSync(self.instance_boot, base, self._changes[pending[-1]], counters)

    def receive(self, sync: UsageSync) -> UsageAck:
        """Merge the counters of another instance and return the acknowledgement."""
        account = self._held.setdefault(sync.instance_boot, _Account())
        for workspace, counts in sync.counters:
            known = account.counters.get(workspace, ZERO_COUNTS)
            account.counters[workspace] = known.maximum(counts)
        # A message that builds on changes that this instance lacks, such as after its restart, is
        # answered with what it has, and the sender continues from there.
        if sync.base <= account.held_upto:
            account.held_upto = max(account.held_upto, sync.upto)
        return UsageAck(sync.instance_boot, account.held_upto)

    def acknowledge(self, peer_id: str, ack: UsageAck) -> None:
        """Note what a holder has."""
        if ack.instance_boot == self.instance_boot:
            self._acknowledged[peer_id] = min(ack.upto, self._change)

    def reset_replica(self, peer_id: str) -> None:
        """Send everything to a holder again, as it may have restarted; for each new connection."""
        self._acknowledged.pop(peer_id, None)

    def next_flush(self) -> Flush | None:
        """Return a record of the own counters that the log lacks, at most one at a time."""
        return self._flush(self.instance_boot, self._own)

    def flush_ended_processes(self, is_gone: Callable[[str, int], bool]) -> list[Flush]:
        """Return the records of processes that are gone, from the held counters.

        `is_gone(instance_id, boot)` tells whether a process has ended.
        """
        flushes = []
        for name, account in list(self._held.items()):
            if not is_gone(*split_instance_boot(name)):
                continue
            flush = self._flush(name, account)
            if flush is not None:
                flushes.append(flush)
            elif account.flushing is None:
                # Everything is in the log. A process that was only paused sends its counters again.
                del self._held[name]
        return flushes

    def _flush(self, name: str, account: _Account) -> Flush | None:
        if account.flushing is not None:
            return None
        counters = account.unflushed()
        if not counters:
            return None
        self._token += 1
        account.flushing = self._token
        self._tokens[self._token] = (name, counters)
        values = {workspace: list(counts.as_tuple()) for workspace, counts in counters.items()}
        return Flush(self._token, {"instance_boot": name, "counters": values})

    def confirm_flush(self, token: int, appended: bool) -> None:
        """Note the result of an append; a failed or lost one is repeated by the next flush."""
        name, counters = self._tokens.pop(token, ("", {}))
        account = self._own if name == self.instance_boot else self._held.get(name)
        if account is None or account.flushing != token:
            return
        account.flushing = None
        if appended:
            account.appended.update(counters)

    def reflush_all(self) -> None:
        """Flush all own counters again, so that readers do not take an idle process for ended."""
        self._own.appended.clear()

    @property
    def is_flushed(self) -> bool:
        """Return whether the log has all own counters."""
        return not self._own.unflushed()

    def replicas(self) -> dict[str, dict[str, Counts]]:
        """Return the held counters of other processes, by process and workspace."""
        return {name: dict(account.counters) for name, account in self._held.items()}
