"""State machine that restarts the configuration from files."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from .applying import Applied, Conflict, Outcome, Unavailable, Undetermined
from .base import NO_REVISION, ConfigState, LogRecord
from .restarts import ConfigRestart, inquiry_id, inquiry_record, is_restart

# An instance that has a state responds to an inquiry by appending a snapshot. Records reach all
# readers within 4 s.
INQUIRY_WAIT_MS = 5_000


@dataclass(frozen=True)
class ConfigurationExists:
    """An instance already has a configuration, so no restart was appended."""

    holder: str
    revision: int


class ConfigRestartProcedure:
    """Append a restart if neither the log nor a peer has a state, and wait for the fold's result.

    The caller calls `next_append` after each event and appends the returned record. `outcome` is
    set once the procedure has finished. Readers ignore a restart record at any offset other than
    the expected one, so a further attempt cannot make the restart take effect twice.
    """

    def __init__(self, restart: ConfigRestart, instance_id: str, deadline_ms: int) -> None:
        self.restart = restart
        self.deadline_ms = deadline_ms
        self.outcome: Outcome | ConfigurationExists | None = None
        self._instance_id = instance_id
        self._inquired_ms: int | None = None
        self._is_inquiry_sent = False
        self._expected_offset: int | None = None  # Of the restart record in flight.

    def next_append(
        self, state: ConfigState | None, position: int, at_end: bool, now_ms: int
    ) -> dict[str, Any] | None:
        """Return the record to append; `at_end` is true if the whole stream was read."""
        if self.outcome is not None:
            return None
        if state is not None:
            self._resolve(state)
        elif now_ms >= self.deadline_ms:
            self._expire()
        elif at_end and not self._is_inquiry_sent:
            self._is_inquiry_sent = True
            return inquiry_record(self.restart.restart_id)
        elif at_end and self._expected_offset is None and self._is_inquiry_over(now_ms):
            self._expected_offset = position
            return replace(self.restart, expected_offset=position).to_record()
        return None

    def _is_inquiry_over(self, now_ms: int) -> bool:
        return self._inquired_ms is not None and now_ms >= self._inquired_ms + INQUIRY_WAIT_MS

    def _resolve(self, state: ConfigState) -> None:
        processed = state.find_processed(self.restart.restart_id)
        if processed is not None:
            self.outcome = Applied(processed.offset)
        elif self._is_inquiry_sent:
            self.outcome = Conflict(NO_REVISION, state.revision, state.last_change)
        else:
            self.outcome = ConfigurationExists(self._instance_id, state.revision)

    def _expire(self) -> None:
        if self._expected_offset is not None:
            self.outcome = Undetermined(self.restart.restart_id)
        else:
            self.outcome = Unavailable(
                "Reading the log and the inquiry did not finish before the deadline."
            )

    def read(self, records: Iterable[LogRecord], now_ms: int) -> None:
        """Look for the inquiry and restart records of this procedure."""
        own_restart_id = self.restart.restart_id
        for record in records:
            if inquiry_id(record) == own_restart_id and self._inquired_ms is None:
                self._inquired_ms = now_ms
            elif is_restart(record) and record.offset != self._expected_offset:
                fields = record.data["restart"]
                if isinstance(fields, Mapping) and fields.get("restart_id") == own_restart_id:
                    self._expected_offset = None

    def add_peer_state(self, peer: str, state: ConfigState | None) -> None:
        """Record a peer's response; any state ends the procedure."""
        if state is not None and self.outcome is None and self._expected_offset is None:
            self.outcome = ConfigurationExists(peer, state.revision)

    def append_failed(self, may_have_taken_effect: bool, text: str) -> None:
        """Record a failed append."""
        if not may_have_taken_effect and self.outcome is None:
            self.outcome = Unavailable(text)
