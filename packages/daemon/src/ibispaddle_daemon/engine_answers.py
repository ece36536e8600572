"""Interpretation of engine responses to cancel requests and to invalid requests."""

import msgspec
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.relay import AttemptFinished
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import Outcome

from .calls import CallResult
from .events import CallFailure


class _CancelResponse(msgspec.Struct):
    ran: bool


class _ErrorFields(msgspec.Struct):
    message: str = "The engine refused the request."
    code: str | None = None
    param: str | None = None


class _ErrorBody(msgspec.Struct):
    error: _ErrorFields


def confirms_not_run(result: CallResult) -> bool:
    """Return whether the response to a cancel request states that no token was computed."""
    if result.error is not None or result.status != 200:
        return False
    try:
        return not msgspec.json.decode(result.body, type=_CancelResponse).ran
    except DECODE_ERRORS:
        return False


def is_unreachable(result: CallResult) -> bool:
    """Return whether no connection to the engine could be made."""
    return result.failure is CallFailure.UNREACHABLE


def may_have_crashed(outcome: Outcome, cancel: CallResult) -> bool:
    """Return whether the engine may have crashed during an attempt.

    `cancel` is the result of the cancel request. A cancelled attempt counts too if the engine is
    unreachable: a probe can detect that the engine is down before the attempt's connection breaks,
    and the scheduler then cancels the attempt.
    """
    if outcome is Outcome.FAILED:
        return True
    is_broken = cancel.failure not in (None, CallFailure.TIMEOUT)
    return is_broken and outcome is not Outcome.REJECTED


def engine_error(end: AttemptFinished, run_state: RunState) -> ProtocolError:
    """Return the error for the caller of a request that the engine rejected as invalid."""
    try:
        fields = msgspec.json.decode(end.body, type=_ErrorBody).error
    except DECODE_ERRORS:
        fields = _ErrorFields()
    code = fields.code or "invalid_request"
    return ProtocolError(end.status, code, fields.message, run_state, fields.param)
