"""Gossip of the scheduler's consumption counters, memory claims and waiting prompts."""

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

# Unchanged values are published again after this number of gossip intervals, before their entries
# expire.
RENEWAL_ROUNDS = 40
# Waiting prompts are published again more often, because their entries expire within seconds.
WAITING_RENEWAL_INTERVAL_MS = 2_000
# Limits the size of the gossip entry; the largest claims are kept, because they matter most.
MAX_MEMORY_CLAIMS = 10


class SchedulerStateSource(Protocol):
    """Interface of the scheduler whose state is published."""

    def consumption(self) -> Mapping[str, float]:
        """Return the cumulative engine milliseconds of this instance by neighbour."""

    def memory_claims(self) -> Mapping[str, int]:
        """Return the engine memory claimed by waiting prompts, in tokens by runner."""

    def waiting_prompts(self) -> tuple[WaitingPrompt, ...]:
        """Return the prompts that need several engines and wait for memory."""


class SchedulerStateSync(BaseComponent):
    """Publish the scheduler's state as gossip entries and pass it the state of other instances."""

    channel = "shares"

    def __init__(
        self,
        settings: InstanceSettings,
        scheduler: SchedulerStateSource,
        handle_event: Callable[[PeerConsumption | PeerMemoryClaims | PeerWaitingPrompts], None],
        boot: int,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._interval_ms = settings.gossip_interval_ms
        self._scheduler = scheduler
        self._handle_event = handle_event
        self._boot = boot
        self._clock = clock
        self._timers = timers
        self._rounds = 0
        self._published_consumed_ms: dict[str, int] = {}
        self._published_claims = MemoryClaims(boot, ())
        self._published_waiting = WaitingLargePrompts(0, ())
        # Instance boot of the latest claims, by instance id.
        self._claiming_boots: dict[str, str] = {}

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._publish()

    def _publish(self) -> None:
        self._timers.after(self._interval_ms, self._publish)
        self._rounds += 1
        renew = self._rounds % RENEWAL_ROUNDS == 0
        for neighbour, value in self._scheduler.consumption().items():
            consumed_ms = round(value)
            if renew or self._published_consumed_ms.get(neighbour) != consumed_ms:
                self._published_consumed_ms[neighbour] = consumed_ms
                self.fire(gossip_put(Consumption(neighbour, self._boot, consumed_ms)), "*")
        largest = sorted(
            self._scheduler.memory_claims().items(), key=lambda item: (-item[1], item[0])
        )
        claims = MemoryClaims(self._boot, tuple(largest[:MAX_MEMORY_CLAIMS]))
        if claims != self._published_claims or (renew and claims.tokens):
            self._published_claims = claims
            self.fire(gossip_put(claims), "*")
        self._publish_waiting_prompts()

    def _publish_waiting_prompts(self) -> None:
        wall_ms = self._clock.wall_ms()
        prompts = tuple(
            (prompt.arrived_wall_ms, prompt.request_id, prompt.upstream_ids)
            for prompt in self._scheduler.waiting_prompts()
        )
        renew = (
            prompts
            and wall_ms - self._published_waiting.written_wall_ms >= WAITING_RENEWAL_INTERVAL_MS
        )
        if renew or prompts != self._published_waiting.prompts:
            self._published_waiting = WaitingLargePrompts(wall_ms, prompts)
            self.fire(gossip_put(self._published_waiting), "*")

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
                case WaitingLargePrompts(written_wall_ms, waiting):
                    prompts = tuple(WaitingPrompt(*prompt) for prompt in waiting)
                    self._handle_event(PeerWaitingPrompts(entry.origin, written_wall_ms, prompts))
        for name, counters in consumed.items():
            self._handle_event(PeerConsumption(name, counters))

    def _replace_claims(
        self, instance_id: str, name: str, tokens: Iterable[tuple[str, int]]
    ) -> None:
        previous = self._claiming_boots.get(instance_id)
        if previous not in (None, name):
            self._handle_event(PeerMemoryClaims(previous or "", {}))
        self._claiming_boots[instance_id] = name
        self._handle_event(PeerMemoryClaims(name, dict(tokens)))

    @handler("members_changed", channel="*")
    def _on_members_changed(self, members: Iterable[Member]) -> None:
        """Clear the claims of instances that are gone; they would hold memory back for ever."""
        running_ids = {
            member.entry.id
            for member in members
            if member.entry.kind is MemberKind.ENTRY and member.state is not MemberState.DOWN
        }
        for instance_id in self._claiming_boots.keys() - running_ids:
            self._handle_event(PeerMemoryClaims(self._claiming_boots.pop(instance_id), {}))
