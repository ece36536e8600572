"""Bounded waiting for a condition."""

import time
from collections.abc import Callable


def wait_until(
    condition: Callable[[], object], text: str = "condition", timeout_s: float = 10.0
) -> float:
    """Return the seconds until the condition held; fail at the time limit."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise AssertionError(f"{text}: not within {timeout_s} s")
        time.sleep(0.005)
    return time.monotonic() - started
