"""Requests that were in flight when an upstream crashed.

A request whose upstream crashed is neither retried nor answered before the other instances know of
the suspicion, so that the caller's next attempt is handled as a suspect by any instance.
"""

import itertools
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, replace

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.quarantine import (
    SUCCESSOR_SUFFIX,
    Death,
    PartQuarantine,
    Quarantine,
    current_boot_id,
)
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import RunnerLoad

from .calls import CallbackHttpClient, CallResult
from .engine_answers import is_unreachable
from .events import CallFailure, runner_failed
from .quarantine import parts_cleared, suspect_completed, upstream_died

# Timeout of the check whether an upstream is still running.
LIVENESS_TIMEOUT_MS = 500
# Time for which a new boot of an upstream that did not respond still proves that the old one crashed. It
# covers the restart of a process whose supervisor keeps accepting connections meanwhile.
LATE_PROOF_MS = 8_000


class _BootReport(msgspec.Struct):
    boot_id: str


@dataclass(frozen=True)
class LostAttempt:
    """An attempt that ended without a response after bytes of the request were sent.

    `boot_id` is the boot of the upstream that received the attempt, empty if unknown.
    """

    upstream_id: str
    base_url: str
    boot_id: str
    # All requests of this instance that were in flight there: their parts by fingerprint.
    requests: Mapping[str, tuple[str, ...]]
    unreachable: bool  # The upstream refused a connection after the attempt.


class SuspectTracker(BaseComponent):
    """Check whether upstreams crashed, and restrict the requests suspected of causing it."""

    channel = "suspects"

    def __init__(self, registry: Quarantine, parts: PartQuarantine, clock: Clock) -> None:
        super().__init__()
        self._registry, self._parts = registry, parts
        self._clock = clock
        self._tokens = itertools.count(1)
        self._callbacks: dict[object, Callable[[], None]] = {}
        # Lost attempts at upstreams that did not respond, by upstream and boot, with the times at which
        # they are forgotten.
        self._unresolved: dict[tuple[str, str], tuple[int, LostAttempt]] = {}
        self._calls = CallbackHttpClient("suspect_calls", clock).register(self)

    def quarantine_error(
        self, fingerprint: str, parts: Sequence[str], run_state: RunState
    ) -> ProtocolError | None:
        """Return the error for a request that is in quarantine or has such a part, or None."""
        blocked: str | None = fingerprint
        if not self._registry.is_quarantined(fingerprint, self._clock.wall_ms()):
            blocked = self._parts.blocked_part(parts, fingerprint, self._clock.now_ms())
        if blocked is None:
            return None
        text = (
            "Requests with this content crashed the upstreams that ran them; operators can lift the"
            f" quarantine of fingerprint '{blocked}'."
        )
        return ProtocolError(422, "quarantined", text, run_state)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the upstreams are restricted for requests with this content."""
        return self._registry.is_suspect(fingerprint)

    def allowed_upstreams(
        self,
        fingerprint: str,
        upstream_ids: Sequence[str],
        in_flight: Mapping[str, Collection[str]],
    ) -> Collection[str]:
        """Return the upstreams that a suspect may use now.

        `in_flight` maps upstream ids to the fingerprints in flight there.
        """
        return self._registry.allowed_upstreams(
            fingerprint, upstream_ids, self._clock.wall_ms(), in_flight
        )

    def current_boot_id(self, upstream_id: str, reported_boot: str) -> str:
        """Return the boot that receives an attempt, given the last reported one."""

        def has_died(death: Death) -> bool:
            return self._registry.has_died(death.upstream_id, death.boot_id)

        return current_boot_id(has_died, upstream_id, reported_boot)

    def has_boot_ended(self, upstream_id: str, boot_id: str) -> bool:
        """Return whether a boot of an upstream is known to have died."""
        return self._registry.has_died(upstream_id, boot_id)

    @staticmethod
    def reported_boot_id(boot_id: str) -> str:
        """Return the last boot that was reported when `current_boot_id` returned this one."""
        return boot_id.rstrip(SUCCESSOR_SUFFIX)

    def clear_suspect(self, fingerprint: str, parts: Sequence[str]) -> None:
        """Clear the suspicions of a request that was completed, and of its parts."""
        for key, (expires_ms, lost) in self._unresolved.items():
            self._unresolved[key] = expires_ms, _without_request(lost, fingerprint)
        if self.is_suspect(fingerprint):
            self.fire(suspect_completed(fingerprint), "*")
        cleared = self._parts.record_response(parts, fingerprint, self._parts.sequence)
        if cleared:
            self.fire(parts_cleared(cleared), "*")

    def check_upstream(self, lost: LostAttempt, callback: Callable[[], None]) -> None:
        """Call `callback` once the upstream proved alive or all reachable instances are notified.

        If the upstream does not respond, `callback` is called after a timeout, and the crash is reported
        when a later boot shows it.
        """
        if lost.unreachable:
            self._report_unreachable(lost, callback)
        else:
            self._check_boot(lost, callback, self._clock.now_ms() + LATE_PROOF_MS)

    def _check_boot(self, lost: LostAttempt, callback: Callable[[], None], expires_ms: int) -> None:
        def on_response(result: CallResult) -> None:
            if is_unreachable(result):
                self._report_unreachable(lost, callback)
            elif _proves_death(result, lost.boot_id):
                self._report_death(lost, callback)
            else:
                if lost.boot_id and result.failure is CallFailure.TIMEOUT:
                    self._remember(lost, expires_ms)
                callback()

        self._calls.send("GET", f"{lost.base_url}/load", b"", LIVENESS_TIMEOUT_MS, on_response)

    def _remember(self, lost: LostAttempt, expires_ms: int) -> None:
        key = lost.upstream_id, lost.boot_id
        known_expires_ms, known = self._unresolved.get(key, (0, lost))
        if self._clock.now_ms() < known_expires_ms:
            lost = replace(lost, requests={**known.requests, **lost.requests})
            expires_ms = known_expires_ms
        self._unresolved[key] = expires_ms, lost

    @handler("load_reported", channel="*")
    def _on_load_reported(self, load: RunnerLoad) -> None:
        """Check an upstream that did not respond again when another boot of it was reported."""
        now_ms = self._clock.now_ms()
        for key, (expires_ms, lost) in list(self._unresolved.items()):
            if expires_ms <= now_ms or not lost.requests:
                del self._unresolved[key]
            elif lost.upstream_id == load.upstream_id and lost.boot_id != load.boot_id:
                del self._unresolved[key]
                # Reports of other instances may be older than the lost attempt, so they prove nothing.
                self._check_boot(lost, lambda: None, expires_ms)

    def _report_unreachable(self, lost: LostAttempt, callback: Callable[[], None]) -> None:
        # Mark the upstream as down now, so that a retry does not choose it before the next probe.
        self.fire(runner_failed(lost.upstream_id), "*")
        self._report_death(lost, callback)

    def _report_death(self, lost: LostAttempt, callback: Callable[[], None]) -> None:
        token = f"suspects-{next(self._tokens)}"
        self._callbacks[token] = callback
        event = upstream_died(lost.upstream_id, lost.boot_id, lost.requests, token, self.channel)
        self.fire(event, "*")

    @handler("suspicions_shared")
    def _on_suspicions_shared(self, token: object) -> None:
        callback = self._callbacks.pop(token, None)
        if callback is not None:
            callback()


def _without_request(lost: LostAttempt, fingerprint: str) -> LostAttempt:
    if fingerprint not in lost.requests:
        return lost
    requests = {key: parts for key, parts in lost.requests.items() if key != fingerprint}
    return replace(lost, requests=requests)


def _proves_death(result: CallResult, boot_id: str) -> bool:
    """Return whether the result of `GET /load` proves that the boot has ended.

    An upstream that does not respond in time may only be slow and does not count as dead. If the
    boot that received the attempt is unknown, a response is no proof either, although the
    connection of the attempt broke.
    """
    if result.error is not None:
        return result.failure is not CallFailure.TIMEOUT
    try:
        current = msgspec.json.decode(result.body, type=_BootReport).boot_id
    except DECODE_ERRORS:
        return False
    return bool(boot_id) and current != boot_id
