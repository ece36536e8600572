"""Log lines about upstreams that became cold or warm."""

from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.scheduling.cold import ColdUpstreams

from ..logs import log_event

# A data centre may return with hundreds of cold upstreams within a second.
MIN_INTERVAL_MS = 1_000
MAX_LOGGED_UPSTREAMS = 8


class ColdLog:
    """Log which upstreams became cold or warm, at most once a second."""

    def __init__(self, clock: Clock, cold: ColdUpstreams) -> None:
        self._clock, self._cold = clock, cold
        self._next_ms = 0

    def write(self) -> None:
        """Log the changes since the last line, if it is time for the next one."""
        if not self._cold.has_changes:
            return
        now_ms = self._clock.now_ms()
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + MIN_INTERVAL_MS
        became_cold, became_warm = self._cold.take_changes()
        for event, names in (
            (logevents.UPSTREAMS_COLD, became_cold),
            (logevents.UPSTREAMS_WARM, became_warm),
        ):
            if names:
                log_event(
                    event,
                    changed=len(names),
                    upstreams=names[:MAX_LOGGED_UPSTREAMS],
                    cold=self._cold.count(now_ms),
                )
