"""What follows for the sender from a refusal that a delegate has made itself."""

from ..runstate import RunState
from ..scheduling import RefusalReason

# Refusals because of the state of the delegate, or of its view of the fleet. All others, for example because
# of a quarantine, an evacuation or too little time, hold at any instance.
_CODES_OF_ONE_INSTANCE = frozenset(
    {
        str(RefusalReason.DRAINING),
        str(RefusalReason.NO_UPSTREAM),  # It reaches none itself.
        str(RefusalReason.QUEUE_FULL),
        str(RefusalReason.UPSTREAM_FAILED),  # It may be cut off without having noticed.
        "no_configuration",
        "outdated_configuration",
        "overloaded",
        "unknown_key",
        "unknown_route",
    }
)


def may_ask_another(code: str, run_state: RunState, is_certain: bool = False) -> bool:
    """Return whether another instance may serve a request that a delegate has refused.

    `is_certain` is true if the delegate has the data to deny a route or key for good.

    >>> may_ask_another("queue_full", RunState.NOT_RUN)
    True
    >>> may_ask_another("unknown_key", RunState.NOT_RUN, is_certain=True)
    False
    """
    if run_state is not RunState.NOT_RUN or is_certain:
        return False
    return code in _CODES_OF_ONE_INSTANCE
