"""Requests that were in flight when an upstream died.

A request whose upstream died is neither retried nor answered before the other instances know the
suspicion, so that its caller's next attempt meets it wherever it arrives.
"""

import itertools
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.quarantine import Quarantine
from ibispaddle_core.runstate import RunState

from .calls import CallbackHttpClient, CallResult
from .engine_answers import is_unreachable
from .events import CallFailure, runner_failed
from .quarantine import suspect_completed, upstream_died

# Time for the upstream to show that it still runs.
ALIVE_TIMEOUT_MS = 500

SUCCESSOR_MARK = "+"


class _Boot(msgspec.Struct):
    boot_id: str


@dataclass(frozen=True)
class LostAttempt:
    """Describe an attempt that ended without an answer after bytes were sent.

    `boot_id` is the upstream's boot that ran it, empty if unknown.
    """

    upstream_id: str
    base_url: str
    boot_id: str
    fingerprints: frozenset[str]  # Of all requests that this instance had in flight there.
    unreachable: bool  # The upstream refused a connection after the attempt.


class SuspectTracker(BaseComponent):
    """Find out whether an upstream died and spread the suspicions."""

    channel = "suspects"

    def __init__(self, registry: Quarantine, clock: Clock) -> None:
        super().__init__()
        self._registry = registry
        self._clock = clock
        self._tokens = itertools.count(1)
        self._waiting: dict[object, Callable[[], None]] = {}
        self._calls = CallbackHttpClient("suspect_calls", clock).register(self)

    def quarantine_error(self, fingerprint: str, run_state: RunState) -> ProtocolError | None:
        """Return the error for a request in quarantine, or None."""
        if not self._registry.is_quarantined(fingerprint, self._clock.wall_ms()):
            return None
        text = (
            "Requests with this content crashed the upstreams that ran them; operators can lift the"
            f" quarantine of fingerprint '{fingerprint}'."
        )
        return ProtocolError(422, "quarantined", text, run_state)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the choice of upstreams is restricted for requests with this content."""
        return self._registry.is_suspect(fingerprint)

    def allowed_upstreams(
        self,
        fingerprint: str,
        upstream_ids: Sequence[str],
        in_flight: Mapping[str, Collection[str]],
    ) -> Collection[str]:
        """Return the upstreams that a suspect may use now; `in_flight` has fingerprints by upstream."""
        return self._registry.allowed_upstreams(
            fingerprint, upstream_ids, self._clock.wall_ms(), in_flight
        )

    def current_boot_id(self, upstream_id: str, reported_boot: str) -> str:
        """Return the boot that an attempt meets, given the last reported one.

        Load reports lag: a boot that is known to have died is replaced by a name for its successor,
        so that the death of the successor is not taken for the same death.
        """
        boot_id = reported_boot
        while self._registry.has_died(upstream_id, boot_id):
            boot_id += SUCCESSOR_MARK
        return boot_id

    def has_boot_ended(self, upstream_id: str, boot_id: str) -> bool:
        """Return whether a boot of an upstream is known to have died."""
        return self._registry.has_died(upstream_id, boot_id)

    @staticmethod
    def reported_boot_id(boot_id: str) -> str:
        """Return the last boot that was reported when `current_boot_id` returned this one."""
        return boot_id.rstrip(SUCCESSOR_MARK)

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear the suspicion of a request that was answered."""
        if self.is_suspect(fingerprint):
            self.fire(suspect_completed(fingerprint), "*")

    def check_upstream(self, lost: LostAttempt, done: Callable[[], None]) -> None:
        """Call `done` once the upstream is found alive or all reachable instances know of it."""
        if lost.unreachable:
            self._is_down(lost, done)
            return

        def answered(result: CallResult) -> None:
            if is_unreachable(result):
                self._is_down(lost, done)
            elif _shows_death(result, lost.boot_id):
                self._died(lost, done)
            else:
                done()

        self._calls.send("GET", f"{lost.base_url}/load", b"", ALIVE_TIMEOUT_MS, answered)

    def _is_down(self, lost: LostAttempt, done: Callable[[], None]) -> None:
        # The retry must not choose the same upstream before a probe has noticed that it is down.
        self.fire(runner_failed(lost.upstream_id), "*")
        self._died(lost, done)

    def _died(self, lost: LostAttempt, done: Callable[[], None]) -> None:
        token = f"suspects-{next(self._tokens)}"
        self._waiting[token] = done
        died = upstream_died(lost.upstream_id, lost.boot_id, lost.fingerprints, token, self.channel)
        self.fire(died, "*")

    @handler("suspicions_shared")
    def _on_suspicions_shared(self, token: object) -> None:
        done = self._waiting.pop(token, None)
        if done is not None:
            done()


def _shows_death(result: CallResult, boot_id: str) -> bool:
    """Return whether an answer to `GET /load` shows that the boot has ended.

    An upstream that does not answer in time may only be slow, and is not counted as dead. A broken
    connection to an upstream whose boot was not known is no proof either.
    """
    if result.error is not None:
        return result.error.failure is not CallFailure.TIMEOUT
    try:
        current = msgspec.json.decode(result.body, type=_Boot).boot_id
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return bool(boot_id) and current != boot_id
