"""Selection of an initial state from peers while the log cannot be read."""

from collections.abc import Iterable

from .base import NO_REVISION, ConfigState

PEER_TIMEOUT_MS = 2_000


class PeerStateSelection:
    """Collect the states of all listed peers and select the one with the highest `as_of` offset.

    A single response is not enough, because the peer that responds first may lag behind the others.
    After a pause the local state is a candidate too, but only if at least one peer returned a
    state.
    """

    def __init__(
        self, peers: Iterable[str], now_ms: int, local_state: ConfigState | None = None
    ) -> None:
        self._pending = set(peers)
        self._deadline_ms = now_ms + PEER_TIMEOUT_MS
        self._newest = local_state
        self._has_peer_state = False
        self._min_revision = NO_REVISION

    def add_response(self, peer: str, state: ConfigState | None) -> None:
        """Record a peer's state, or `None` if it has none or is unreachable."""
        self._pending.discard(peer)
        if state is not None:
            self._has_peer_state = True
            self.require_revision(state.revision)
            if self._newest is None or state.as_of > self._newest.as_of:
                self._newest = state

    def require_revision(self, revision: int) -> None:
        """Require at least this revision, which some message has mentioned."""
        self._min_revision = max(self._min_revision, revision)

    def is_complete(self, now_ms: int) -> bool:
        """Return whether every peer has responded or timed out."""
        return not self._pending or now_ms >= self._deadline_ms

    def selected_state(self, now_ms: int) -> ConfigState | None:
        """Return the state to serve, or `None` if the instance must stay not ready."""
        if not self.is_complete(now_ms) or self._newest is None or not self._has_peer_state:
            return None
        return self._newest if self._newest.revision >= self._min_revision else None
