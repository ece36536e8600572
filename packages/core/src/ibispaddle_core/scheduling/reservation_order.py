"""Order of reservations between instances.

Of two prompts that wait for the same runners, the older one reserves first. The rule cannot cause a
deadlock: it only delays the start of reservations, a prompt that has not started holds no memory,
and a prompt waits only for older ones. Entries of other instances expire unless they are renewed.
"""

from .messages import PeerWaitingPrompts, WaitingPrompt

# Entries are renewed every 2 s, gossip may take some seconds, and wall clocks may differ by 5 s.
EXPIRY_MS = 15_000
# Bounds the gossip entry. Younger prompts of the instance beyond the bound are not protected.
MAX_GOSSIPED = 2


class ReservationOrder:
    """Hold the prompts of this and other instances that wait for a group of runners."""

    def __init__(self, wall_offset_ms: int) -> None:
        self._wall_offset_ms = wall_offset_ms
        self._waiting: dict[str, WaitingPrompt] = {}
        self._peers: dict[str, tuple[int, tuple[WaitingPrompt, ...]]] = {}

    def merge(self, event: PeerWaitingPrompts, now_ms: int) -> None:
        """Replace the prompts of another instance until the entry expires.

        The expiry counts from the time of writing, so that a delayed entry does not extend it, but at
        most from the time of arrival, because the clock of the sender may be ahead.
        """
        written_ms = event.written_wall_ms - self._wall_offset_ms
        self._peers[event.instance] = (min(written_ms, now_ms) + EXPIRY_MS, event.prompts)

    def contested_runners(self, prompt: WaitingPrompt, now_ms: int) -> set[str]:
        """Return the runners that an older prompt of another instance waits for."""
        for instance in [i for i, (until, _) in self._peers.items() if until <= now_ms]:
            del self._peers[instance]
        return {
            upstream_id
            for _, prompts in self._peers.values()
            for peer in prompts
            if peer.sort_key < prompt.sort_key
            for upstream_id in peer.upstream_ids
        }

    def add_waiting(self, prompt: WaitingPrompt) -> None:
        """Record a prompt of this instance that waits for an older one."""
        self._waiting[prompt.request_id] = prompt

    def discard(self, request_id: str) -> None:
        """Remove a prompt that has started to reserve or has ended."""
        self._waiting.pop(request_id, None)

    def own(self, reserving: list[WaitingPrompt]) -> tuple[WaitingPrompt, ...]:
        """Return the prompts to gossip, which are the oldest that reserve or wait."""
        prompts = sorted([*reserving, *self._waiting.values()], key=lambda prompt: prompt.sort_key)
        return tuple(prompts[:MAX_GOSSIPED])
