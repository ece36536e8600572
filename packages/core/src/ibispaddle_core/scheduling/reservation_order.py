"""Order in which the prompts of all instances get engine memory.

Between instances that exchange gossip, the older one of two prompts that wait for the same runners
reserves first. The rule cannot cause a deadlock: it only delays the start of reservations, a prompt
that has not started holds no memory, and a prompt waits only for older ones. Entries of other
instances expire unless they are renewed.

Instances with hubs know the waiting prompts of the whole fleet. The workspaces take turns: one that
holds memory for few long prompts comes before one that holds it for many, so that a workspace that
sends many long prompts at once does not keep the others out. Among equals, the prompt that must start
first comes first. A prompt starts out of turn if the memory is enough for all prompts before it.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from .messages import PeerWaitingPrompts, WaitingPrompt

# Entries are renewed every 2 s, gossip may take some seconds, and wall clocks may differ by 5 s.
EXPIRY_MS = 15_000
# Prompts of the hubs' last report are used for this time. A report is renewed every 50 ms while requests
# wait.
FLEET_EXPIRY_MS = 1_500
# Bounds the gossip entry. Younger prompts of the instance beyond the bound are not protected.
MAX_GOSSIPED = 2
# Bounds the prompts that an instance reports to its hubs, and those that a hub reports to it.
MAX_REPORTED = 2
MAX_FLEET_REPORTED = 8

TurnKey = tuple[int, int, str]


def in_turn(prompts: Iterable[WaitingPrompt], holders: Mapping[str, int]) -> list[WaitingPrompt]:
    """Return waiting prompts in the fleet's order.

    `holders` is the number of long prompts that hold memory, by workspace.

    >>> north = [WaitingPrompt(0, f"n{n}", workspace="north", latest_start_ms=n) for n in range(3)]
    >>> south = WaitingPrompt(0, "s", workspace="south", latest_start_ms=90)
    >>> [prompt.request_id for prompt in in_turn([*north, south], {"north": 1})]
    ['s', 'n0', 'n1', 'n2']
    """
    turns: Counter[str] = Counter(holders)
    keyed: list[tuple[TurnKey, WaitingPrompt]] = []
    for prompt in sorted(prompts, key=lambda item: (item.latest_start_ms, item.request_id)):
        key = (turns[prompt.workspace], prompt.latest_start_ms, prompt.request_id)
        keyed.append((key, prompt))
        turns[prompt.workspace] += 1
    return [prompt for _, prompt in sorted(keyed, key=lambda item: item[0])]


class ReservationOrder:
    """Hold the prompts of this and other instances that wait for memory."""

    def __init__(self, wall_offset_ms: int) -> None:
        self._wall_offset_ms = wall_offset_ms
        self._waiting: dict[str, WaitingPrompt] = {}
        self._peers: dict[str, tuple[int, tuple[WaitingPrompt, ...]]] = {}
        self._fleet: tuple[WaitingPrompt, ...] = ()
        self._fleet_holders: Mapping[str, int] = {}
        self._fleet_until_ms = 0

    def merge(self, event: PeerWaitingPrompts, now_ms: int) -> None:
        """Replace the prompts of another instance until the entry expires.

        The expiry counts from the time of writing, so that a delayed entry does not extend it, but at
        most from the time of arrival, because the clock of the sender may be ahead.
        """
        written_ms = event.written_wall_ms - self._wall_offset_ms
        self._peers[event.instance] = (min(written_ms, now_ms) + EXPIRY_MS, event.prompts)

    def replace_fleet(
        self, prompts: tuple[WaitingPrompt, ...], holders: Mapping[str, int], now_ms: int
    ) -> None:
        """Replace the waiting prompts of all other instances, as the hubs report them."""
        self._fleet, self._fleet_holders = prompts, holders
        self._fleet_until_ms = now_ms + FLEET_EXPIRY_MS

    def has_fleet_prompts(self, now_ms: int) -> bool:
        """Return whether prompts of other instances wait for memory."""
        return bool(self._fleet) and now_ms < self._fleet_until_ms

    def prompts_before(
        self, prompt: WaitingPrompt, own_holders: Mapping[str, int], now_ms: int
    ) -> list[WaitingPrompt]:
        """Return the other instances' prompts that come before one of this instance."""
        if not self.has_fleet_prompts(now_ms):
            return []
        others = [peer for peer in self._fleet if peer.model == prompt.model]
        if not others:
            return []
        own = {**self._waiting, prompt.request_id: prompt}.values()
        holders = Counter(self._fleet_holders) + Counter(own_holders)
        same_model = [item for item in own if item.model == prompt.model]
        ordered = in_turn([*others, *same_model], holders)
        before = ordered[: ordered.index(prompt)]
        own_ids = {item.request_id for item in same_model}
        return [item for item in before if item.request_id not in own_ids]

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
        """Record a prompt of this instance that waits for memory or for another prompt."""
        self._waiting[prompt.request_id] = prompt

    def discard(self, request_id: str) -> None:
        """Remove a prompt that has started to reserve or has ended."""
        self._waiting.pop(request_id, None)

    def own(self, reserving: list[WaitingPrompt]) -> tuple[WaitingPrompt, ...]:
        """Return the prompts to gossip, which are the oldest that reserve or wait for a group."""
        waiting = (prompt for prompt in self._waiting.values() if prompt.upstream_ids)
        prompts = sorted([*reserving, *waiting], key=lambda prompt: prompt.sort_key)
        return tuple(prompts[:MAX_GOSSIPED])

    def own_waiting(self) -> tuple[WaitingPrompt, ...]:
        """Return the prompts to report to the hubs."""
        return tuple(in_turn(self._waiting.values(), {})[:MAX_REPORTED])
