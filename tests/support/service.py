"""The platform's rule for instances that reach no upstream, while consumers still reach them."""

from collections.abc import Sequence

# The rule is broken if first tries there are served less than this fraction as often as elsewhere, and more
# than this number and fraction of all first tries fail there.
MIN_SERVED_RATIO = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_FRACTION = 1 / 50


def is_served_worse(there: Sequence[bool], elsewhere: Sequence[bool]) -> bool:
    """Return whether first tries break the rule; each value states whether one was served.

    >>> is_served_worse([True] * 20 + [False] * 13, [True] * 67)
    True
    >>> is_served_worse([True] * 20 + [False] * 12, [True] * 68)
    False
    """
    if not there or not elsewhere:
        return False
    ratio = sum(there) / len(there)
    failed = there.count(False)
    allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_FRACTION * (len(there) + len(elsewhere))
    return ratio < MIN_SERVED_RATIO * sum(elsewhere) / len(elsewhere) and failed > allowed
