"""End of attempts at runners: answer, resume, proof that nothing ran, and suspicion of a crash."""

from collections.abc import Callable, Collection, Mapping
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.relay import AttemptFinished, FinalAnswer
from ibispaddle_core.scheduling import Outcome

from .calls import CallbackHttpClient, CallResult
from .engine_answers import is_unreachable, may_have_died, proves_not_run, refusal_of
from .logs import log_event
from .model_request import ModelRequest, RunningAttempt
from .suspects import LostAttempt, SuspectTracker

if TYPE_CHECKING:
    from .entry import Entry

# Time for the engine to state whether a failed attempt ran.
PROOF_TIMEOUT_MS = 500
MAX_RESUMES = 2


class AttemptEnds(BaseComponent):
    """Decide what follows the end of an attempt.

    `resume` continues a stream on the same engine, and `fingerprints` returns the fingerprints of
    the requests in flight, by upstream.
    """

    channel = "attempt_ends"

    def __init__(
        self,
        entry: "Entry",
        clock: Clock,
        suspects: SuspectTracker,
        resume: Callable[[ModelRequest, RunningAttempt], None],
        fingerprints: Callable[[], Mapping[str, Collection[str]]],
    ) -> None:
        super().__init__()
        self._entry = entry
        self._clock = clock
        self._suspects = suspects
        self._resume = resume
        self._fingerprints = fingerprints
        self._calls = CallbackHttpClient("attempt_calls", clock).register(self)

    def finished(
        self, request: ModelRequest, running: RunningAttempt, end: AttemptFinished
    ) -> None:
        """Answer the caller, resume the stream, or report the attempt as failed.

        An attempt that may run on is reported after the engine was asked to stop.
        """
        if end.outcome is Outcome.COMPLETED:
            self._answer(request, running, end)
            self._entry.attempt_ended(request, running.upstream_id, end.outcome)
            return
        log_event(
            logevents.ATTEMPT_FAILED,
            request=request.request_id,
            upstream=running.upstream_id,
            outcome=str(end.outcome),
            reason=end.text,
        )
        if end.answer is FinalAnswer.BODY:
            self._answer_refusal(request, end)
            self._entry.attempt_ended(request, running.upstream_id, end.outcome)
        elif self._can_resume(request, running, end):
            self._resume(request, running)
        elif running.may_run_on and end.outcome is not Outcome.REJECTED:
            self.ask_to_stop(request, running)
        else:
            self._entry.attempt_ended(request, running.upstream_id, end.outcome)

    def _answer(self, request: ModelRequest, running: RunningAttempt, end: AttemptFinished) -> None:
        """End the answer to the caller, or write it if it was not streamed."""
        usage = running.machine.usage
        if usage is not None:
            request.prompt_tokens = usage.prompt_tokens
        if end.answer is FinalAnswer.STREAM:
            request.exchange.end()
        else:
            request.answer(200, end.body)
            request.tokens = usage.completion_tokens if usage else 0
            request.unreported_tokens = request.tokens
        self._entry.finish(request, "ok")

    def _can_resume(
        self, request: ModelRequest, running: RunningAttempt, end: AttemptFinished
    ) -> bool:
        return (
            request.parsed.stream
            and running.machine.next_index > 0
            and running.machine.boot_id != ""
            and request.resumes < MAX_RESUMES
            and self._clock.now_ms() < request.req.deadline_ms
            and end.outcome in (Outcome.FAILED, Outcome.STALLED)
        )

    def _answer_refusal(self, request: ModelRequest, end: AttemptFinished) -> None:
        """Pass on a refusal whose cause is the caller's request."""
        error = refusal_of(end, request.run_state)
        request.fail(error)
        self._entry.finish(request, error.code)

    def ask_to_stop(
        self, request: ModelRequest, running: RunningAttempt, is_awaited: bool = True
    ) -> None:
        """Stop the engine's work on an attempt; `ran` false in its answer proves that none ran.

        If it is awaited, the attempt is reported after the answer or a timeout.
        """
        if not running.may_run_on:
            return
        if is_awaited:
            request.unproved_attempts += 1

        def done(result: CallResult) -> None:
            is_proved = not running.machine.next_index and proves_not_run(result)
            if is_proved and is_awaited:
                request.unproved_attempts -= 1
            outcome = _outcome_after_stop(running, is_proved)

            def report() -> None:
                if is_awaited:
                    self._entry.attempt_ended(request, running.upstream_id, outcome)

            if may_have_died(outcome, result):
                self._suspects.check_upstream(self._lost_attempt(request, running, result), report)
            else:
                report()

        body = msgspec.json.encode({"request_id": running.engine_request_id})
        url = f"{running.base_url}/v1/cancel"
        self._calls.send("POST", url, body, PROOF_TIMEOUT_MS, done)

    def _lost_attempt(
        self, request: ModelRequest, running: RunningAttempt, result: CallResult
    ) -> LostAttempt:
        beside = self._fingerprints().get(running.upstream_id, ())
        return LostAttempt(
            running.upstream_id,
            running.base_url,
            running.machine.boot_id or running.upstream_boot,
            frozenset((request.req.fingerprint, *beside)),
            is_unreachable(result),
        )


def _outcome_after_stop(running: RunningAttempt, is_proved: bool) -> Outcome:
    """Return the outcome to report for an attempt that the engine was asked to stop.

    `is_proved` tells that the engine proved that nothing ran.
    """
    if is_proved:
        return Outcome.REJECTED
    if running.is_resumed:
        return Outcome.FAILED
    assert running.machine.finished is not None
    return running.machine.finished.outcome
