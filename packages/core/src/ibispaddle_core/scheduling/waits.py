"""Order between instances: the older of two prompts that want the same runners reserves first.

The rule only delays the beginning of a reservation, and a prompt that has not begun holds no
memory. It waits for older ones only, so no circle can form; an entry that its writer does not
renew expires.
"""

from .messages import PeerWaitingPrompts, WaitingPrompt

# Entries are renewed every 2 s. Gossip may take some seconds, and wall clocks may differ by 5 s.
EXPIRY_MS = 15_000
# Bounds the gossip entry. Younger prompts of the instance are not protected.
MAX_GOSSIPED = 2


class ReservationOrder:
    """Hold the prompts that wait for a group of runners, here and at other instances."""

    def __init__(self, wall_offset_ms: int) -> None:
        self._wall_offset_ms = wall_offset_ms
        self._waiting: dict[str, WaitingPrompt] = {}
        self._peers: dict[str, tuple[int, tuple[WaitingPrompt, ...]]] = {}

    def merge(self, event: PeerWaitingPrompts, now_ms: int) -> None:
        """Replace the prompts of another instance; they count until the entry expires.

        A late entry counts from its writing; one with a wrong clock at most from its arrival.
        """
        written_ms = event.written_wall_ms - self._wall_offset_ms
        self._peers[event.instance] = (min(written_ms, now_ms) + EXPIRY_MS, event.prompts)

    def contested_runners(self, prompt: WaitingPrompt, now_ms: int) -> set[str]:
        """Return the runners for which an older prompt of another instance waits."""
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
        """Record that a prompt of this instance has to wait for an older one."""
        self._waiting[prompt.request_id] = prompt

    def forget(self, request_id: str) -> None:
        """Forget a prompt that has begun to reserve or has ended."""
        self._waiting.pop(request_id, None)

    def own(self, reserving: list[WaitingPrompt]) -> tuple[WaitingPrompt, ...]:
        """Return the prompts to gossip: the oldest that reserve or are held."""
        prompts = sorted([*reserving, *self._waiting.values()], key=lambda prompt: prompt.sort_key)
        return tuple(prompts[:MAX_GOSSIPED])
