"""Answers of engines to a refused request and to a cancel."""

import msgspec
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.relay import AttemptFinished
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import Outcome

from .calls import CallResult
from .events import CallFailure


class _CancelAnswer(msgspec.Struct):
    ran: bool


class _ErrorFields(msgspec.Struct):
    message: str = "The engine refused the request."
    code: str | None = None
    param: str | None = None


class _ErrorBody(msgspec.Struct):
    error: _ErrorFields


def confirms_not_run(result: CallResult) -> bool:
    """Return whether the answer to a cancel states that no token was computed."""
    if result.error is not None or result.status != 200:
        return False
    try:
        return not msgspec.json.decode(result.body, type=_CancelAnswer).ran
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False


def is_unreachable(result: CallResult) -> bool:
    """Return whether the engine refused the connection."""
    return result.error is not None and result.error.failure is CallFailure.UNREACHABLE


def may_have_crashed(outcome: Outcome, cancel: CallResult) -> bool:
    """Return whether the engine may have died in an attempt, given the answer to its cancel.

    A cancelled attempt counts too if the engine cannot be reached: a probe can find the engine down
    before the connection of the attempt breaks, and the scheduler then cancels the attempt.
    """
    if outcome is Outcome.FAILED:
        return True
    is_broken = cancel.error is not None and cancel.error.failure is not CallFailure.TIMEOUT
    return is_broken and outcome is not Outcome.REJECTED


def engine_error(end: AttemptFinished, run_state: RunState) -> ProtocolError:
    """Return the error for a caller whose request the engine refused."""
    try:
        fields = msgspec.json.decode(end.body, type=_ErrorBody).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        fields = _ErrorFields()
    code = fields.code or "invalid_request"
    return ProtocolError(end.status, code, fields.message, run_state, fields.param)
