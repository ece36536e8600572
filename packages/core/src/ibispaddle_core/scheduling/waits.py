"""Order between instances: the older of two prompts that want the same runners reserves first.

The rule only delays the beginning of a reservation, and a prompt that has not begun holds no
memory. It waits for older ones only, so no circle can form; an entry that its writer does not
renew expires.
"""

from collections.abc import Sequence

from .messages import PeerWaits, WaitingPrompt
from .runners import RunnerView

# Entries are renewed every 2 s. Gossip may take some seconds, and wall clocks may differ by 5 s.
EXPIRY_MS = 15_000


class LargeWaits:
    """Hold the prompts that wait for a group of runners, here and at other instances."""

    def __init__(self, wall_offset_ms: int) -> None:
        self._wall_offset_ms = wall_offset_ms
        self._held: dict[str, WaitingPrompt] = {}
        self._peers: dict[str, tuple[int, tuple[WaitingPrompt, ...]]] = {}

    def merge(self, event: PeerWaits, now_ms: int) -> None:
        """Replace the prompts of another instance; they count until the entry expires.

        A late entry counts from its writing; one with a wrong clock at most from its arrival.
        """
        written_ms = event.written_wall_ms - self._wall_offset_ms
        self._peers[event.instance] = (min(written_ms, now_ms) + EXPIRY_MS, event.prompts)

    def older(self, prompt: WaitingPrompt, now_ms: int) -> set[str]:
        """Return the runners for which an older prompt of another instance waits."""
        for instance in [i for i, (until, _) in self._peers.items() if until <= now_ms]:
            del self._peers[instance]
        return {
            upstream_id
            for _, prompts in self._peers.values()
            for peer in prompts
            if peer.age < prompt.age
            for upstream_id in peer.upstream_ids
        }

    def hold(self, prompt: WaitingPrompt) -> None:
        """Record that a prompt of this instance has to wait for an older one."""
        self._held[prompt.request_id] = prompt

    def forget(self, request_id: str) -> None:
        """Forget a prompt that has begun to reserve or has ended."""
        self._held.pop(request_id, None)

    def own(self, reserving: WaitingPrompt | None) -> tuple[WaitingPrompt, ...]:
        """Return the prompts to gossip: the one that reserves and the oldest that is held."""
        prompts = [] if reserving is None else [reserving]
        if self._held:
            prompts.append(min(self._held.values(), key=lambda prompt: prompt.age))
        return tuple(prompts)


def choose_group(
    live: Sequence[RunnerView], size: int, tokens: int, wanted: set[str]
) -> tuple[list[RunnerView], bool]:
    """Return `size` consecutive runners and whether the prompt may begin to reserve there.

    Prefer the group whose smallest free memory is largest. If older prompts want one of its
    runners, another group is used that has the memory and that none of them wants.
    """
    free = [view.kv_free() for view in live]
    groups = [(min(free[s : s + size]), live[s : s + size]) for s in range(len(live) - size + 1)]
    groups.sort(key=lambda group: -group[0])  # Of equals the first in id order.
    for number, (smallest, group) in enumerate(groups):
        if number and smallest * size < tokens:
            break
        if not any(view.upstream.upstream_id in wanted for view in group):
            return list(group), True
    return list(groups[0][1]), False
