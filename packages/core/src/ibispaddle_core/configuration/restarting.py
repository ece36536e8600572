"""State machine that begins the configuration again from files."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from .applying import Applied, Conflict, Outcome, Unavailable, Undetermined
from .base import NO_REVISION, ConfigState, LogRecord
from .restarts import ConfigRestart, inquiry_id, inquiry_record, is_restart

# An instance with a state answers an inquiry by a snapshot. Changes reach all readers within 4 s.
INQUIRY_WAIT_MS = 5_000


@dataclass(frozen=True)
class ConfigurationExists:
    """An instance has a configuration; nothing was begun again."""

    holder: str
    revision: int


class ConfigRestartProcedure:
    """Begin again: ask log and peers for a state, append once none was found, follow the fold.

    The caller asks `next_append` after each event and appends the returned record. `outcome` is set
    when the restart has ended. An own restart that was read at another offset than expected is
    void for every reader, so the next attempt cannot take effect twice.
    """

    def __init__(self, restart: ConfigRestart, own_id: str, deadline_ms: int) -> None:
        self.restart = restart
        self.deadline_ms = deadline_ms
        self.outcome: Outcome | ConfigurationExists | None = None
        self._own_id = own_id
        self._inquired_ms: int | None = None
        self._is_inquiry_sent = False
        self._expected_offset: int | None = None  # Of the own restart on its way.

    def next_append(
        self, state: ConfigState | None, position: int, at_end: bool, now_ms: int
    ) -> dict[str, Any] | None:
        """Return the record to append; `at_end` tells whether the whole stream was read."""
        if self.outcome is not None:
            return None
        if state is not None:
            self._resolve(state)
        elif now_ms >= self.deadline_ms:
            self._expire()
        elif at_end and not self._is_inquiry_sent:
            self._is_inquiry_sent = True
            return inquiry_record(self.restart.restart_id)
        elif at_end and self._expected_offset is None and self._is_answered(now_ms):
            self._expected_offset = position
            return replace(self.restart, expected_offset=position).to_record()
        return None

    def _is_answered(self, now_ms: int) -> bool:
        return self._inquired_ms is not None and now_ms >= self._inquired_ms + INQUIRY_WAIT_MS

    def _resolve(self, state: ConfigState) -> None:
        seen = state.find_processed(self.restart.restart_id)
        if seen is not None:
            self.outcome = Applied(seen.offset)
        elif self._is_inquiry_sent:
            self.outcome = Conflict(NO_REVISION, state.revision, state.last_change)
        else:
            self.outcome = ConfigurationExists(self._own_id, state.revision)

    def _expire(self) -> None:
        if self._expected_offset is not None:
            self.outcome = Undetermined(self.restart.restart_id)
        else:
            self.outcome = Unavailable("The log was not read and inquired of within the time.")

    def read(self, records: Iterable[LogRecord], now_ms: int) -> None:
        """Look for the own records."""
        own = self.restart.restart_id
        for record in records:
            if inquiry_id(record) == own and self._inquired_ms is None:
                self._inquired_ms = now_ms
            elif is_restart(record) and record.offset != self._expected_offset:
                fields = record.data["restart"]
                if isinstance(fields, Mapping) and fields.get("restart_id") == own:
                    self._expected_offset = None

    def add_peer_state(self, peer: str, state: ConfigState | None) -> None:
        """Note a peer's state; any state ends the restart."""
        if state is not None and self.outcome is None and self._expected_offset is None:
            self.outcome = ConfigurationExists(peer, state.revision)

    def append_failed(self, may_have_taken_effect: bool, text: str) -> None:
        """Record an append that failed."""
        if not may_have_taken_effect and self.outcome is None:
            self.outcome = Unavailable(text)
