"""The state of an instance that reaches no upstream."""

import random
from collections.abc import Callable, Mapping

from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.delegation import UpstreamReachability

from ..logs import log_event


class Isolation:
    """Own the reachability of the upstreams, and report when the isolation begins and ends.

    >>> from ibispaddle_core.clock import ManualClock
    >>> isolation = Isolation(ManualClock(), random.Random(1))
    >>> isolation.replace_upstreams({"u1": "a", "u2": "a"}, {})
    >>> isolation.subscribe(print)
    >>> isolation.record_unreachable("u1", "reset")
    >>> isolation.record_unreachable("u2", "reset")
    True
    >>> isolation.record_contact("u1")
    False
    """

    def __init__(
        self, clock: Clock, rng: random.Random | None = None, data_centre: str = ""
    ) -> None:
        self._clock = clock
        self._reachability = UpstreamReachability(rng or random.Random(), data_centre)
        self._subscribers: list[Callable[[bool], None]] = []
        # Called when an upstream may be out of reach, so that probes need not wait for their interval.
        self.on_suspicion: Callable[[], None] = lambda: None
        # When the isolation was found, and the last contact before it.
        self._began_ms = self.unreached_since_ms = 0
        self.count = 0  # Since the start.

    @property
    def is_isolated(self) -> bool:
        """Return whether this instance reaches no upstream."""
        return self._reachability.is_isolated

    def subscribe(self, callback: Callable[[bool], None]) -> None:
        """Call `callback` with whether the instance is isolated when that changes."""
        self._subscribers.append(callback)

    def replace_upstreams(
        self, services: Mapping[str, str], data_centres: Mapping[str, str]
    ) -> None:
        """Replace the upstreams: the service and the data centre of each by its id."""
        self._reachability.replace_upstreams(services, data_centres)

    def upstreams_to_probe(self) -> tuple[str, ...]:
        """Return the upstreams to probe now."""
        return self._reachability.upstreams_to_probe(self._clock.now_ms())

    def record_contact(self, upstream_id: str, opened_ms: int | None = None) -> None:
        """Record a byte of a response on a connection that was opened at `opened_ms`, or now."""
        now_ms = self._clock.now_ms()
        if self._reachability.record_contact(upstream_id, now_ms, opened_ms):
            log_event(
                logevents.UPSTREAMS_REACHED,
                upstream=upstream_id,
                isolated_ms=now_ms - self._began_ms,
            )
            self._report()

    def record_unreachable(
        self, upstream_id: str, reason: str, started_ms: int | None = None
    ) -> None:
        """Record that nobody was found at an upstream by a probe, or a try that began at `started_ms`."""
        now_ms = self._clock.now_ms()
        if self._reachability.record_unreachable(upstream_id, now_ms, started_ms):
            self._began_ms = now_ms
            self.unreached_since_ms = self._reachability.last_contact_ms
            self.count += 1
            log_event(
                logevents.UPSTREAMS_UNREACHABLE,
                upstream=upstream_id,
                reason=reason,
                without_contact_ms=now_ms - self.unreached_since_ms,
            )
            self._report()
        self.on_suspicion()

    def record_silence(self, upstream_id: str) -> None:
        """Record that an upstream is late to respond."""
        self._reachability.record_silence(upstream_id, self._clock.now_ms())
        self.on_suspicion()

    def seek_contact(self) -> None:
        """Probe upstreams soon, also if there is no new suspicion."""
        self._reachability.seek_contact()
        self.on_suspicion()

    def cancel_probe(self, upstream_id: str) -> None:
        """Record that the outcome of a probe is unknown."""
        self._reachability.cancel_probe(upstream_id)

    def reaches_others(self, upstream_id: str, since_ms: int) -> bool:
        """Return whether an upstream other than this one was reached since a time."""
        return self._reachability.reaches_others(upstream_id, since_ms)

    def _report(self) -> None:
        for callback in self._subscribers:
            callback(self.is_isolated)
