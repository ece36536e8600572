"""Bounded waiting for a condition."""

import time
from collections.abc import Callable


def wait_until(
    condition: Callable[[], object], text: str = "condition", timeout_s: float = 10.0
) -> float:
    """Wait for a condition and return the seconds it took; fail after the timeout."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise AssertionError(f"{text}: not within {timeout_s} s")
        time.sleep(0.005)
    return time.monotonic() - started
