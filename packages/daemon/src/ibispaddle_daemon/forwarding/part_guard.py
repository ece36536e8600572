"""Refusal of requests with a part that crashes upstreams, and the evidence for it."""

from collections.abc import Callable, Iterable, Sequence

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.forwarding import AttemptResult
from ibispaddle_core.quarantine import Death, PartChange, PartQuarantine, PartQuarantined
from ibispaddle_core.scheduling import Outcome, RetryPolicy

from ..contacts import UpstreamContacts
from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .codec import ForwardingCodec
from .crashes import CrashDetector
from .requests import AttemptState, ForwardedRequest

# An upstream that continues to respond for this time has not crashed because of the request.
SETTLED_OUTPUT_MS = 200
EXPIRY_INTERVAL_MS = 60_000


class PartGuard(BaseComponent):
    """Maintain the parts that crash upstreams on this instance.

    `before_decision` is called before a part is put into quarantine; it fetches the changes of the other
    instances and then calls its argument. `on_changed` is called when there are changes for them, and
    `on_quarantined` when requests may have to be refused. `on_decided` gets the new entries of this
    instance and of others, and the parts that were released.
    """

    channel = "part_guard"

    def __init__(
        self,
        codec: ForwardingCodec,
        clock: Clock,
        timers: TimerQueue,
        contacts: UpstreamContacts | None = None,
    ) -> None:
        super().__init__()
        self.registry = PartQuarantine()
        self._clock, self._timers = clock, timers
        self._crashes = CrashDetector(codec, clock, timers, contacts).register(self)
        self._evaluation_timer: TimerHandle | None = None
        self.before_decision: Callable[[Callable[[], None]], None] = lambda callback: callback()
        self.on_changed: Callable[[], None] = lambda: None
        self.on_quarantined: Callable[[], None] = lambda: None
        self.on_decided: list[Callable[[frozenset[str], frozenset[str]], None]] = []

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._timers.after(EXPIRY_INTERVAL_MS, self._expire)

    def _expire(self) -> None:
        self._timers.after(EXPIRY_INTERVAL_MS, self._expire)
        before = self.registry.quarantined_parts
        self.registry.expire(self._clock.now_ms())
        self._report_decisions(before)

    # Requests

    def blocked_ms(self, request: ForwardedRequest) -> int:
        """Return the time for which the request is refused, 0 if it is not."""
        part = self._blocked_part(request)
        return self.registry.remaining_ms(part, self._clock.now_ms()) if part is not None else 0

    def _blocked_part(self, request: ForwardedRequest) -> str | None:
        if not self.registry.quarantined_parts:
            return None  # Computing the fingerprint reads the whole body.
        return self.registry.blocked_part(request.parts, request.fingerprint, self._clock.now_ms())

    def is_suspected(self, request: ForwardedRequest) -> bool:
        """Return whether upstreams may crash because of the request or a part of it."""
        if not self.registry.has_suspects:
            return False
        return self.registry.is_suspected(request.parts, request.fingerprint)

    def begin_attempt(
        self, attempt: AttemptState, boot_ms: int | None, may_have_died: bool
    ) -> None:
        """Set the process of an attempt's upstream; `boot_ms` is the start of the upstream.

        `may_have_died` is true if an attempt at the upstream has just failed, at any instance.
        """
        attempt.boot_ms = boot_ms
        attempt.boot_id = self.registry.current_boot_id(
            attempt.upstream_id, str(boot_ms or ""), may_have_died
        )

    def record_output(self, request: ForwardedRequest, attempt: AttemptState) -> None:
        """Record that an upstream has sent a part of its response."""
        if attempt.is_output_settled:
            return
        now_ms = self._clock.now_ms()
        if attempt.output_ms is None:
            attempt.output_ms = now_ms
            attempt.output_sequence = self.registry.sequence
        elif now_ms - attempt.output_ms >= SETTLED_OUTPUT_MS:
            self._record_response(request, attempt)

    def record_completion(self, request: ForwardedRequest, attempt: AttemptState) -> None:
        """Record that an upstream has completed its response."""
        if attempt.output_ms is None:
            attempt.output_sequence = self.registry.sequence
        if not attempt.is_output_settled:
            self._record_response(request, attempt)

    def _record_response(self, request: ForwardedRequest, attempt: AttemptState) -> None:
        attempt.is_output_settled = request.has_settled_output = True
        fingerprint = request.fingerprint if self.registry.has_suspects else ""
        cleared = self.registry.record_response(request.parts, fingerprint, attempt.output_sequence)
        if cleared:
            log_event(
                logevents.PART_CLEARED,
                request=request.caller.attempt_id,
                upstream=attempt.upstream_id,
                parts=[item.part for item in cleared],
            )
            self._merge_own(cleared)

    # Crashes

    def check_failed_attempt(
        self,
        request: ForwardedRequest,
        attempt: AttemptState,
        result: AttemptResult,
        address: str,
        is_in_use: Callable[[], bool],
        proceed: Callable[[], None],
    ) -> None:
        """Call `proceed` once it is known whether a failed attempt has crashed its upstream.

        `is_in_use` returns whether the upstream is listed; one that leaves may end at any time.
        """
        if not is_in_use() or not self.may_have_crashed(attempt, result):
            proceed()
            return

        def accepts_late_proof() -> bool:
            # An upstream that was removed meanwhile may have ended as planned, and one that sent
            # something else than a response was running.
            return result.connection_closed and is_in_use()

        callback = proceed
        if request.req.retry_policy is RetryPolicy.PROVED_NOT_RUN:
            # There is no retry that would have to wait for the result.
            proceed()
            callback = _do_nothing
        self.check_upstream(request, attempt, address, callback, accepts_late_proof)

    def may_have_crashed(self, attempt: AttemptState, result: AttemptResult) -> bool:
        """Return whether the upstream of an attempt may have crashed because of its request."""
        return (
            self._crashes.is_supported
            and result.outcome is Outcome.FAILED
            and not attempt.is_output_settled
        )

    def check_upstream(
        self,
        request: ForwardedRequest,
        attempt: AttemptState,
        address: str,
        callback: Callable[[], None],
        accepts_late_proof: Callable[[], bool],
    ) -> None:
        """Call `callback` once the upstream proved alive, or the request's parts are suspects.

        If the upstream does not respond, `callback` is called soon, and the parts become suspects when
        it turns out later that the process has ended, if `accepts_late_proof` returns true then.
        """
        death = Death(attempt.upstream_id, attempt.boot_id)

        def done(has_crashed: bool) -> None:
            if has_crashed:
                self._report_crash(request, death, request.parts)
            callback()

        def done_late() -> None:
            # Meanwhile the request or its parts may have proved sound at another upstream.
            if not request.has_settled_output and accepts_late_proof():
                parts = tuple(part for part in request.parts if not self.registry.is_sound(part))
                self._report_crash(request, death, parts)

        self._crashes.check(address, attempt.boot_ms, done, done_late, attempt.upstream_id)

    def _report_crash(self, request: ForwardedRequest, death: Death, parts: Sequence[str]) -> None:
        report = self.registry.crash_report(death, parts, request.fingerprint)
        log_event(
            logevents.UPSTREAM_CRASHED,
            request=request.caller.attempt_id,
            id=request.request_id,
            upstream=death.upstream_id,
            boot=death.boot_id,
            parts=report.parts,
            sound=report.sound_parts,
            fingerprint=report.request,
        )
        self._merge_own([report])

    # Changes

    def _merge_own(self, changes: Iterable[PartChange]) -> None:
        self.merge(changes)
        self.on_changed()

    def merge(self, changes: Iterable[PartChange]) -> None:
        """Apply changes of this or another instance."""
        before = self.registry.quarantined_parts
        self.registry.merge(changes, self._clock.now_ms(), self._clock.wall_ms())
        self._report_decisions(before)
        self._schedule_evaluation()

    def lift(self, part: str) -> None:
        """Lift the quarantine of a part on all instances."""
        cleared = self.registry.lift(part)
        if cleared:
            self._merge_own(cleared)

    def entry(self, part: str) -> PartQuarantined | None:
        """Return the entry of a part in quarantine, to be stored."""
        return self.registry.entry(part, self._clock.now_ms(), self._clock.wall_ms())

    def _schedule_evaluation(self) -> None:
        if self._evaluation_timer is not None:
            self._evaluation_timer.cancel()
            self._evaluation_timer = None
        due_ms = self.registry.next_due_ms()
        if due_ms is not None:
            self._evaluation_timer = self._timers.at(due_ms, self._begin_evaluation)

    def _begin_evaluation(self) -> None:
        # Another instance may have received a response that clears the parts.
        self._evaluation_timer = None
        self.before_decision(self._evaluate)

    def _evaluate(self) -> None:
        before = self.registry.quarantined_parts
        entries = self.registry.evaluate(self._clock.now_ms(), self._clock.wall_ms())
        self._report_decisions(before)
        self._schedule_evaluation()
        if entries:
            self.on_changed()

    def _report_decisions(self, before: frozenset[str]) -> None:
        after = self.registry.quarantined_parts
        if before == after:
            return
        added, released = after - before, before - after
        for part in sorted(added):
            entry = self.entry(part)
            upstreams = [death.upstream_id for death in entry.deaths] if entry is not None else []
            log_event(logevents.PART_QUARANTINED, part=part, upstreams=upstreams)
        for part in sorted(released):
            log_event(logevents.PART_RELEASED, part=part)
        for callback in self.on_decided:
            callback(added, released)
        if added:
            self.on_quarantined()


def _do_nothing() -> None:
    pass
