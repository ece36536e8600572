"""Exchange of the scheduler's counters, memory claims and waiting prompts between instances."""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.gossip import Consumption, Entry, MemoryClaims, WaitingLargePrompts
from ibispaddle_core.membership import Member, MemberKind, MemberState
from ibispaddle_core.scheduling import (
    PeerConsumption,
    PeerMemoryClaims,
    PeerWaitingPrompts,
    WaitingPrompt,
)
from ibispaddle_core.settings import InstanceSettings
from ibispaddle_core.usage import instance_boot

from .peers import gossip_put
from .timers import TimerQueue

# Values that have not changed are written again within the lifetime of gossip entries.
RENEW_ROUNDS = 40
# Prompts that wait are repeated more often, because the entries expire within seconds.
RENEW_WAITS_MS = 2_000
# Bounds the entry; the largest claims matter most.
MAX_CLAIMS = 10


class SchedulerStateSource(Protocol):
    """Provide what is shared."""

    def consumption(self) -> Mapping[str, float]:
        """Return the own cumulative engine milliseconds by neighbour."""

    def memory_claims(self) -> Mapping[str, int]:
        """Return the memory that waiting prompts claim, in tokens by runner."""

    def waiting_prompts(self) -> tuple[WaitingPrompt, ...]:
        """Return the prompts that span engines and wait for memory."""


class SchedulerStateSync(BaseComponent):
    """Write the own values as gossip entries and hand those of other instances to the scheduler."""

    channel = "shares"

    def __init__(
        self,
        settings: InstanceSettings,
        scheduler: SchedulerStateSource,
        tell: Callable[[PeerConsumption | PeerMemoryClaims | PeerWaitingPrompts], None],
        boot: int,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._interval_ms = settings.gossip_interval_ms
        self._scheduler = scheduler
        self._tell = tell
        self._boot = boot
        self._clock = clock
        self._timers = timers
        self._rounds = 0
        self._consumed_ms: dict[str, int] = {}
        self._claims = MemoryClaims(boot, ())
        self._waits = WaitingLargePrompts(0, ())
        self._claimants: dict[str, str] = {}  # Instance boot of the last claims, by instance.

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._share()

    def _share(self) -> None:
        self._timers.after(self._interval_ms, self._share)
        self._rounds += 1
        renew = self._rounds % RENEW_ROUNDS == 0
        for neighbour, value in self._scheduler.consumption().items():
            consumed_ms = round(value)
            if renew or self._consumed_ms.get(neighbour) != consumed_ms:
                self._consumed_ms[neighbour] = consumed_ms
                self.fire(gossip_put(Consumption(neighbour, self._boot, consumed_ms)), "*")
        largest = sorted(
            self._scheduler.memory_claims().items(), key=lambda item: (-item[1], item[0])
        )
        claims = MemoryClaims(self._boot, tuple(largest[:MAX_CLAIMS]))
        if claims != self._claims or (renew and claims.tokens):
            self._claims = claims
            self.fire(gossip_put(claims), "*")
        self._share_waits()

    def _share_waits(self) -> None:
        wall_ms = self._clock.wall_ms()
        prompts = tuple(
            (prompt.arrived_wall_ms, prompt.request_id, prompt.upstream_ids)
            for prompt in self._scheduler.waiting_prompts()
        )
        renew = prompts and wall_ms - self._waits.written_wall_ms >= RENEW_WAITS_MS
        if renew or prompts != self._waits.prompts:
            self._waits = WaitingLargePrompts(wall_ms, prompts)
            self.fire(gossip_put(self._waits), "*")

    @handler("gossip_received", channel="*")
    def _on_gossip_received(self, entries: Iterable[Entry]) -> None:
        consumed: dict[str, dict[str, float]] = {}
        for entry in entries:
            match entry.payload:
                case Consumption(neighbour, boot, consumed_ms):
                    name = instance_boot(entry.origin, boot)
                    consumed.setdefault(name, {})[neighbour] = float(consumed_ms)
                case MemoryClaims(boot, tokens):
                    self._replace_claims(entry.origin, instance_boot(entry.origin, boot), tokens)
                case WaitingLargePrompts(written_wall_ms, waits):
                    prompts = tuple(WaitingPrompt(*wait) for wait in waits)
                    self._tell(PeerWaitingPrompts(entry.origin, written_wall_ms, prompts))
        for name, counters in consumed.items():
            self._tell(PeerConsumption(name, counters))

    def _replace_claims(
        self, instance_id: str, name: str, tokens: Iterable[tuple[str, int]]
    ) -> None:
        before = self._claimants.get(instance_id)
        if before not in (None, name):
            self._tell(PeerMemoryClaims(before or "", {}))
        self._claimants[instance_id] = name
        self._tell(PeerMemoryClaims(name, dict(tokens)))

    @handler("members_changed", channel="*")
    def _on_members_changed(self, members: Iterable[Member]) -> None:
        """Drop the claims of instances that are gone; they would hold back others for ever."""
        running = {
            member.entry.id
            for member in members
            if member.entry.kind is MemberKind.ENTRY and member.state is not MemberState.DOWN
        }
        for instance_id in self._claimants.keys() - running:
            self._tell(PeerMemoryClaims(self._claimants.pop(instance_id), {}))
