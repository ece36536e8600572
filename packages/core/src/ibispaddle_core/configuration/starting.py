"""Choice of a state from peers while the log cannot be read."""

from collections.abc import Iterable

from .base import NO_REVISION, ConfigState

PEER_TIMEOUT_MS = 2_000


class PeerStateSelection:
    """Collect the states of all listed peers and choose the one with the highest as-of offset.

    A single answer is not enough: the peer that answers first may be behind the others. After a
    pause the own state takes part, but only together with the state of at least one peer.
    """

    def __init__(self, peers: Iterable[str], now_ms: int, own: ConfigState | None = None) -> None:
        self._waiting = set(peers)
        self._deadline_ms = now_ms + PEER_TIMEOUT_MS
        self._best = own
        self._is_answered = False
        self._floor = NO_REVISION

    def add_response(self, peer: str, state: ConfigState | None) -> None:
        """Record a peer's state; None if it has none or cannot be reached."""
        self._waiting.discard(peer)
        if state is not None:
            self._is_answered = True
            self.require_revision(state.revision)
            if self._best is None or state.as_of > self._best.as_of:
                self._best = state

    def require_revision(self, revision: int) -> None:
        """Record a revision that was seen in any message."""
        self._floor = max(self._floor, revision)

    def is_complete(self, now_ms: int) -> bool:
        """Return whether every peer has answered or timed out."""
        return not self._waiting or now_ms >= self._deadline_ms

    def selected_state(self, now_ms: int) -> ConfigState | None:
        """Return the state to serve, or None if the instance has to stay not ready."""
        if not self.is_complete(now_ms) or self._best is None or not self._is_answered:
            return None
        return self._best if self._best.revision >= self._floor else None
