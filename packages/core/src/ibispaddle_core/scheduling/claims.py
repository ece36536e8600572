"""Claims on engine memory, with which a waiting long prompt blocks other prompts from a runner.

A claim exists only among the instances. Memory is reserved at a runner by `PromptReservations`.

Without claims, short prompts use all memory that becomes free, and a long prompt never finds enough
at once. Claims of peers arrive by gossip and expire unless they are renewed.
"""

from collections.abc import Mapping

# Gossip renews claims about twice a second.
PEER_EXPIRY_MS = 2_000


class MemoryClaimTable:
    """Hold the memory claims of this instance's requests and of its peers, by runner."""

    def __init__(self) -> None:
        self._own: dict[str, dict[str, int]] = {}
        self._by_request: dict[str, set[str]] = {}
        self._peers: dict[str, dict[str, int]] = {}
        self._last_claims: dict[str, tuple[int, tuple[str, ...]]] = {}

    def add(self, request_id: str, upstream_id: str, tokens: int) -> None:
        """Claim memory for a waiting request."""
        self._own.setdefault(upstream_id, {})[request_id] = tokens
        self._by_request.setdefault(request_id, set()).add(upstream_id)

    def remove(self, request_id: str, upstream_id: str | None = None) -> None:
        """Remove the request's claim on a runner, or all of them."""
        for name in [upstream_id] if upstream_id else list(self._by_request.get(request_id, ())):
            claims = self._own.get(name, {})
            claims.pop(request_id, None)
            if not claims:
                self._own.pop(name, None)
            self._by_request.get(request_id, set()).discard(name)
        if not self._by_request.get(request_id):
            self._by_request.pop(request_id, None)

    def merge(self, instance_boot: str, tokens: Mapping[str, int], now_ms: int) -> None:
        """Replace the claims of a peer and drop the claims of peers that did not renew theirs."""
        self._last_claims[instance_boot] = (now_ms, tuple(tokens))
        for claims in self._peers.values():
            claims.pop(instance_boot, None)
        for upstream_id, count in tokens.items():
            self._peers.setdefault(upstream_id, {})[instance_boot] = count
        for boot, (received_ms, upstream_ids) in list(self._last_claims.items()):
            if received_ms < now_ms - PEER_EXPIRY_MS:
                del self._last_claims[boot]
                for upstream_id in upstream_ids:
                    self._peers.get(upstream_id, {}).pop(boot, None)

    def own(self) -> dict[str, int]:
        """Return this instance's claims for gossip, in tokens by runner."""
        return {name: sum(claims.values()) for name, claims in self._own.items()}

    def has_claim(self, request_id: str) -> bool:
        """Return whether the request holds a claim."""
        return request_id in self._by_request

    def is_claimed(self, upstream_id: str) -> bool:
        """Return whether a request of this instance claims memory of the runner."""
        return upstream_id in self._own

    def claimed_by_others(self, request_id: str, upstream_id: str) -> int:
        """Return the tokens at the runner that other requests have claimed.

        Return 0 if the request has a claim of its own there.
        """
        own = self._own.get(upstream_id, {})
        if request_id in own:
            return 0
        peers = self._peers.get(upstream_id)
        return sum(own.values()) + (sum(peers.values()) if peers else 0)
