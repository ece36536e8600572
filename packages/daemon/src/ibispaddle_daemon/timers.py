"""A queue of timed callbacks, shared by all components of a process."""

import heapq
import itertools
from collections.abc import Callable

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock


class TimerHandle:
    """Handle of a scheduled callback."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback; does nothing after it ran."""
        self.callback = None


class TimerQueue(BaseComponent):
    """Run callbacks at monotonic times.

    circuits checks each of its own timers in every turn of the event loop. This queue checks only the
    earliest callback, so its cost does not grow with the number of deadlines.
    """

    channel = "timers"

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._heap: list[tuple[int, int, TimerHandle]] = []
        self._numbers = itertools.count()

    def at(self, time_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Run `callback` once when the clock reaches `time_ms`."""
        handle = TimerHandle(callback)
        heapq.heappush(self._heap, (time_ms, next(self._numbers), handle))
        return handle

    def after(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Run `callback` once after `delay_ms`."""
        return self.at(self._clock.now_ms() + delay_ms, callback)

    @handler("generate_events", priority=10)
    def _on_generate_events(self, event):  # type: ignore[no-untyped-def]
        now_ms = self._clock.now_ms()
        heap = self._heap
        while heap and (heap[0][0] <= now_ms or heap[0][2].callback is None):
            handle = heapq.heappop(heap)[2]
            callback, handle.callback = handle.callback, None
            if callback is not None:
                # If a callback raises, circuits reports the exception, and the callbacks due after it
                # run in the next turn.
                event.reduce_time_left(0)
                callback()
        if heap:
            event.reduce_time_left((heap[0][0] - now_ms) / 1000)
