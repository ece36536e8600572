"""Exchange of the work in flight between instances."""

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.membership import Kind, MembershipView, MemberState
from ibispaddle_core.scheduling import PeerWork

from ..events import peer_broadcast
from ..timers import TimerQueue
from .forwarder import Forwarder

# News of added work goes out at once, but for messages about work that is added together.
GATHER_MS = 5
# Work that has ended is told at this interval.
INTERVAL_MS = 150
# Instances with which the interval is kept. Beyond, it grows with their number, so that the messages
# that an instance takes stay constant.
PEERS_AT_INTERVAL = 10
# Instances from which only prompts that occupy several engines are told at once. Each instance has few
# requests then, and the others hear of them at the next interval.
MANY_PEERS = 20
# Peers forget what was told after 1.5 s; an instance with unchanged work repeats it before.
REPEAT_MS = 700


class PeerWorkExchange(BaseComponent):
    """Tell the other instances what this one has in flight, and take over what they tell."""

    channel = "peer_work"

    def __init__(
        self,
        instance_id: str,
        forwarder: Forwarder,
        view: MembershipView,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._instance_id, self._forwarder, self._view = instance_id, forwarder, view
        self._clock, self._timers = clock, timers
        self._told: PeerWork | None = None
        self._told_ms = 0
        self._interval_ms = INTERVAL_MS
        self._is_gathering = self._has_many_peers = False
        forwarder.on_work_added = self._gather

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._tick()

    def _tick(self) -> None:
        members = self._view.members(self._clock.now_ms(), Kind.ENTRY)
        peers = sum(member.state is MemberState.LIVE for member in members)
        self._has_many_peers = peers >= MANY_PEERS
        self._interval_ms = INTERVAL_MS * max(1, peers // PEERS_AT_INTERVAL)
        self._timers.after(self._interval_ms, self._tick)
        self._tell()

    def _gather(self, engines: int) -> None:
        """Tell soon of a request that occupies so many upstreams."""
        if self._has_many_peers and engines == 1:
            return
        if not self._is_gathering:
            self._is_gathering = True
            # With many peers the messages are spaced like the regular ones.
            self._timers.after(GATHER_MS * self._interval_ms // INTERVAL_MS, self._tell)

    def _tell(self) -> None:
        self._is_gathering = False
        now_ms = self._clock.now_ms()
        work = self._forwarder.scheduler.own_work(self._instance_id, now_ms)
        has_news = work.work or work.avoided
        if work != self._told or (has_news and now_ms - self._told_ms >= REPEAT_MS):
            self._told, self._told_ms = work, now_ms
            self.fire(peer_broadcast(work), "*")

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: object) -> None:
        if isinstance(message, PeerWork) and message.instance == instance_id:
            self._forwarder.take_peer_work(message)
