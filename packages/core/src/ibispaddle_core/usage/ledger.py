"""Usage counters of one instance, replicas of other instances' counters, and flushes to the log.

Counters never decrease and are merged by taking the maximum, so repeated, reordered and late
messages and records have no effect. The two rank successors of an instance hold replicas of its
counters; each of them appends its replica to the log after the instance has ended.
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
# Limits a message to about 20 KB; a full copy of 620 workspaces takes four messages.
MAX_SYNC_COUNTERS = 200
MAX_FLUSH_COUNTERS = 500
# The flush interval grows with the fleet, so that all instances together append 39 records/s.
MIN_FLUSH_INTERVAL_MS = 2_000
FLUSH_INTERVAL_PER_INSTANCE_MS = 25.6


def flush_interval_ms(instances: int, minimum_ms: int = MIN_FLUSH_INTERVAL_MS) -> int:
    """Return the time between two flushes of an instance.

    >>> flush_interval_ms(9), flush_interval_ms(390)
    (2000, 9984)
    """
    return max(minimum_ms, int(instances * FLUSH_INTERVAL_PER_INSTANCE_MS))


@dataclass(frozen=True)
class Flush:
    """A record for the stream `usage`; `token` identifies it until it is confirmed."""

    token: int
    data: dict[str, Any]


@dataclass
class _ProcessCounters:
    """Counters of one process, and the values that are known to be in the log."""

    counters: dict[str, Counts] = field(default_factory=dict)
    appended: dict[str, Counts] = field(default_factory=dict)
    replicated_upto: int = 0
    flush_token: int | None = None

    def unflushed(self) -> dict[str, Counts]:
        pending = {}
        for workspace, counts in self.counters.items():
            if counts != self.appended.get(workspace, ZERO_COUNTS):
                pending[workspace] = counts
                if len(pending) == MAX_FLUSH_COUNTERS:
                    break
        return pending


class UsageLedger:
    """Count usage, replicate it to the rank successors and flush it to the log.

    >>> ledger = UsageLedger("a", boot=1)
    >>> ledger.count("w", "n", prompt_tokens=10, generated_tokens=5, engine_ms=7)
    >>> ledger.next_flush().data
    {'instance_boot': 'a-1', 'counters': {'w': [1, 10, 5, 7]}}
    """

    def __init__(self, instance_id: str, boot: int) -> None:
        self.instance_boot = instance_boot(instance_id, boot)
        self._own = _ProcessCounters()
        self._change = 0
        # Number of the last change of each workspace, in ascending order.
        self._changes: dict[str, int] = {}
        self._acknowledged_upto: dict[str, int] = {}
        self._replicas: dict[str, _ProcessCounters] = {}
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
        """Add one request to the counters of a workspace."""
        added = Counts(1, prompt_tokens, generated_tokens, round(engine_ms))
        counters = self._own.counters
        counters[workspace] = counters.get(workspace, ZERO_COUNTS).add(added)
        self._change += 1
        self._changes.pop(workspace, None)
        self._changes[workspace] = self._change

    @property
    def counters(self) -> dict[str, Counts]:
        """Return the counters of this instance by workspace."""
        return dict(self._own.counters)

    def sync_for(self, peer_id: str) -> UsageSync | None:
        """Return the next update for a replica, or None if it is up to date."""
        base = self._acknowledged_upto.get(peer_id, 0)
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
        """Merge an update into the replica of another instance; return the acknowledgement."""
        process = self._replicas.setdefault(sync.instance_boot, _ProcessCounters())
        for workspace, counts in sync.counters:
            known = process.counters.get(workspace, ZERO_COUNTS)
            process.counters[workspace] = known.maximum(counts)
        # If the update builds on changes that are missing here, for example after a restart, the
        # acknowledgement names the last known change, and the sender continues from there.
        if sync.base <= process.replicated_upto:
            process.replicated_upto = max(process.replicated_upto, sync.upto)
        return UsageAck(sync.instance_boot, process.replicated_upto)

    def acknowledge(self, peer_id: str, ack: UsageAck) -> None:
        """Record the acknowledgement of a replica."""
        if ack.instance_boot == self.instance_boot:
            self._acknowledged_upto[peer_id] = min(ack.upto, self._change)

    def reset_replica(self, peer_id: str) -> None:
        """Send all counters again; for each new connection, as the peer may have restarted."""
        self._acknowledged_upto.pop(peer_id, None)

    def next_flush(self) -> Flush | None:
        """Return a record with unflushed counters of this instance; at most one is in flight."""
        return self._flush(self.instance_boot, self._own)

    def flush_ended_processes(self, has_ended: Callable[[str, int], bool]) -> list[Flush]:
        """Return records with unflushed counters of ended processes, taken from the replicas.

        `has_ended(instance_id, boot)` returns whether a process has ended.
        """
        flushes = []
        for name, process in list(self._replicas.items()):
            if not has_ended(*split_instance_boot(name)):
                continue
            flush = self._flush(name, process)
            if flush is not None:
                flushes.append(flush)
            elif process.flush_token is None:
                # All counters are in the log. If the process was only paused, it sends them again.
                del self._replicas[name]
        return flushes

    def _flush(self, name: str, process: _ProcessCounters) -> Flush | None:
        if process.flush_token is not None:
            return None
        counters = process.unflushed()
        if not counters:
            return None
        self._token += 1
        process.flush_token = self._token
        self._tokens[self._token] = (name, counters)
        values = {workspace: list(counts.as_tuple()) for workspace, counts in counters.items()}
        return Flush(self._token, {"instance_boot": name, "counters": values})

    def confirm_flush(self, token: int, appended: bool) -> None:
        """Record the result of an append; the next flush repeats one that failed or is unknown."""
        name, counters = self._tokens.pop(token, ("", {}))
        process = self._own if name == self.instance_boot else self._replicas.get(name)
        if process is None or process.flush_token != token:
            return
        process.flush_token = None
        if appended:
            process.appended.update(counters)

    def reflush_all(self) -> None:
        """Flush all counters of this instance again, so that readers do not regard it as ended."""
        self._own.appended.clear()

    @property
    def is_flushed(self) -> bool:
        """Return whether all counters of this instance are in the log."""
        return not self._own.unflushed()

    def replicas(self) -> dict[str, dict[str, Counts]]:
        """Return the replicated counters of other processes, by process and workspace."""
        return {name: dict(process.counters) for name, process in self._replicas.items()}
