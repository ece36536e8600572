"""Handling of ended attempts: response, resumption, cancellation and crash detection."""

from collections.abc import Callable, Mapping

import msgspec
from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.relay import AttemptFinished, FinalAnswer
from ibispaddle_core.scheduling import Outcome

from .attempt_coordinator import AttemptCoordinator
from .calls import CallbackHttpClient, CallResult
from .engine_answers import confirms_not_run, engine_error, is_unreachable, may_have_crashed
from .logs import log_event
from .model_request import ModelRequest, RunningAttempt
from .suspects import LostAttempt, SuspectTracker

# Time for the engine to respond to a cancel request; the response states whether a failed attempt ran.
CANCEL_TIMEOUT_MS = 500
MAX_RESUMES = 2


class AttemptEndHandler(BaseComponent):
    """Respond to the caller, resume the stream or report a failure when an attempt ends.

    `resume` continues a stream on the same engine, and `requests_at` returns the requests in flight
    at an upstream: their parts by fingerprint.
    """

    channel = "attempt_ends"

    def __init__(
        self,
        coordinator: AttemptCoordinator,
        clock: Clock,
        suspects: SuspectTracker,
        resume: Callable[[ModelRequest, RunningAttempt], None],
        requests_at: Callable[[str], Mapping[str, tuple[str, ...]]],
    ) -> None:
        super().__init__()
        self._coordinator = coordinator
        self._clock = clock
        self._suspects = suspects
        self._resume = resume
        self._requests_at = requests_at
        self._calls = CallbackHttpClient("attempt_calls", clock).register(self)

    def handle_finished(
        self, request: ModelRequest, running: RunningAttempt, end: AttemptFinished
    ) -> None:
        """Respond to the caller, resume the stream, or report the attempt as failed.

        An attempt that the engine may still run is cancelled on the engine before it is reported.
        """
        if end.outcome is Outcome.COMPLETED:
            self._send_response(request, running, end)
            self._coordinator.report_attempt_end(request, running.upstream_id, end.outcome)
            return
        log_event(
            logevents.ATTEMPT_FAILED,
            request=request.request_id,
            upstream=running.upstream_id,
            outcome=str(end.outcome),
            reason=end.text,
        )
        if end.answer is FinalAnswer.BODY:
            self._relay_engine_error(request, end)
            self._coordinator.report_attempt_end(request, running.upstream_id, end.outcome)
        elif self._can_resume(request, running, end):
            self._resume(request, running)
        elif running.may_still_run and end.outcome is not Outcome.REJECTED:
            self.cancel_on_engine(request, running)
        else:
            self._coordinator.report_attempt_end(request, running.upstream_id, end.outcome)

    def _send_response(
        self, request: ModelRequest, running: RunningAttempt, end: AttemptFinished
    ) -> None:
        """End a streamed response, or send a response that is not streamed."""
        usage = running.state_machine.usage
        if usage is not None:
            request.prompt_tokens = usage.prompt_tokens
        if end.answer is FinalAnswer.STREAM:
            request.exchange.end()
        else:
            request.send_response(200, end.body)
            request.tokens = usage.completion_tokens if usage else 0
            request.unreported_tokens = request.tokens
        self._coordinator.finish(request, "ok")

    def _can_resume(
        self, request: ModelRequest, running: RunningAttempt, end: AttemptFinished
    ) -> bool:
        return (
            request.parsed.stream
            and running.state_machine.next_index > 0
            and running.state_machine.boot_id != ""
            and request.resumes < MAX_RESUMES
            and self._clock.now_ms() < request.req.deadline_ms
            and end.outcome in (Outcome.FAILED, Outcome.STALLED)
        )

    def _relay_engine_error(self, request: ModelRequest, end: AttemptFinished) -> None:
        """Send the caller the engine's error for an invalid request."""
        error = engine_error(end, request.run_state)
        request.send_error(error)
        self._coordinator.finish(request, error.code)

    def cancel_on_engine(
        self, request: ModelRequest, running: RunningAttempt, report_end: bool = True
    ) -> None:
        """Cancel an attempt on its engine, whose response states whether any of it ran.

        With `report_end`, the end of the attempt is reported after the response or a timeout.
        """
        if not running.may_still_run:
            return
        if report_end:
            request.unconfirmed_attempts += 1

        def on_result(result: CallResult) -> None:
            is_confirmed = not running.state_machine.next_index and confirms_not_run(result)
            if is_confirmed and report_end:
                request.unconfirmed_attempts -= 1
            outcome = _outcome_after_cancel(running, is_confirmed)

            def report() -> None:
                if report_end:
                    self._coordinator.report_attempt_end(request, running.upstream_id, outcome)

            if may_have_crashed(outcome, result):
                self._suspects.check_upstream(self._lost_attempt(request, running, result), report)
            else:
                report()

        body = msgspec.json.encode({"request_id": running.engine_request_id})
        url = f"{running.base_url}/v1/cancel"
        self._calls.send("POST", url, body, CANCEL_TIMEOUT_MS, on_result)

    def _lost_attempt(
        self, request: ModelRequest, running: RunningAttempt, result: CallResult
    ) -> LostAttempt:
        others_in_flight = self._requests_at(running.upstream_id)
        return LostAttempt(
            running.upstream_id,
            running.base_url,
            running.state_machine.boot_id or running.upstream_boot,
            {**others_in_flight, request.req.fingerprint: request.req.parts},
            is_unreachable(result),
        )


def _outcome_after_cancel(running: RunningAttempt, is_confirmed: bool) -> Outcome:
    """Return the outcome to report for an attempt that was cancelled on its engine.

    `is_confirmed` is true if the engine confirmed that nothing ran.
    """
    if is_confirmed:
        return Outcome.REJECTED
    if running.is_resumed:
        return Outcome.FAILED
    assert running.state_machine.finished is not None
    return running.state_machine.finished.outcome
