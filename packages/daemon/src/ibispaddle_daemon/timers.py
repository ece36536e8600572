"""A queue of timed callbacks, shared by all components of a process."""

import heapq
import itertools
from collections import deque
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


_Entry = tuple[int, int, TimerHandle]  # Time, number in the order of addition, handle.


class TimerQueue(BaseComponent):
    """Run callbacks at monotonic times.

    circuits checks each of its own timers in every turn of the event loop. This queue checks only the
    earliest callback, so its cost does not grow with the number of deadlines.
    """

    channel = "timers"

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._heap: list[_Entry] = []
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
        # Callbacks that are added meanwhile run in the next turn, even if their time has passed.
        due = self._pop_due(now_ms)
        if due:
            event.reduce_time_left(0)
        try:
            while due:
                handle = due.popleft()[2]
                callback, handle.callback = handle.callback, None
                if callback is not None:
                    callback()
        finally:
            # If a callback raises, circuits reports the exception, and the others run in the next turn.
            for entry in due:
                heapq.heappush(self._heap, entry)
        if self._heap:
            event.reduce_time_left(max(0, self._heap[0][0] - now_ms) / 1000)

    def _pop_due(self, now_ms: int) -> deque[_Entry]:
        """Remove the entries that are due, and cancelled ones before them, and return them in order."""
        due: deque[_Entry] = deque()
        heap = self._heap
        while heap and (heap[0][0] <= now_ms or heap[0][2].callback is None):
            due.append(heapq.heappop(heap))
        return due
