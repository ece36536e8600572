"""Long computations that are divided into short steps, so that they do not block the event loop."""

from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")

# A generator that yields between two steps and returns the result.
Steps = Generator[None, None, T]


def finish(steps: Steps[T]) -> T:
    """Run all steps and return the result.

    >>> def double(number):
    ...     yield
    ...     return 2 * number
    >>> finish(double(3))
    6
    """
    while True:
        try:
            next(steps)
        except StopIteration as exc:
            return exc.value
