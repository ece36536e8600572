"""Selection of the group of runners for a prompt that is divided among engines."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from .cost import CostModel, PromptClass
from .messages import Request
from .runners import RunnerView

# Bounds the examined runners, so that the decision time does not grow with the fleet.
MAX_CANDIDATES = 64
# A prompt may be divided into up to this multiple of its default number of segments if its prefill
# then starts on free engines.
MAX_SEGMENT_MULTIPLE = 2


@dataclass(frozen=True, slots=True)
class Group:
    """Hold the runners in id order; `fits` is true if they have enough free memory now."""

    views: list[RunnerView]
    fits: bool
    contested: bool  # An older prompt of another instance waits for one of the runners.


class GroupSelector:
    """Choose the number of segments and the runners for the lowest predicted time."""

    def __init__(self, cost: CostModel, rng: Random) -> None:
        self._cost = cost
        self._rng = rng

    def choose(
        self, req: Request, live: Sequence[RunnerView], contested: set[str], now_ms: int
    ) -> Group:
        """Return an uncontested group with enough memory, or else the runners with the most memory."""
        if len(live) > MAX_CANDIDATES:
            chosen = self._rng.sample(range(len(live)), MAX_CANDIDATES)
            live = [live[number] for number in sorted(chosen)]
        tokens = self._cost.kv_tokens(req)
        max_age_ms = self._cost.scheduling.load_report_max_age_ms
        priority = self._cost.priority(req)
        default_size = min(self._cost.preferred_segments(req), len(live))
        usable = [
            (view.wait_ms(PromptClass.LONG, priority, now_ms, max_age_ms), -self._free(view), view)
            for view in live
            if view.upstream.upstream_id not in contested
        ]
        usable.sort(key=lambda entry: entry[:2])
        best: tuple[float, list[RunnerView]] | None = None
        for size in range(default_size, min(default_size * MAX_SEGMENT_MULTIPLE, len(live)) + 1):
            fitting = [entry for entry in usable if -entry[1] >= tokens / size][:size]
            if len(fitting) == size:
                slowest_ms = max(e[0] + tokens / size / e[2].prefill_rate for e in fitting)
                if best is None or slowest_ms < best[0]:
                    best = (slowest_ms, [entry[2] for entry in fitting])
        if best is not None:
            return Group(self._in_id_order(best[1]), True, False)
        most_free = self._in_id_order(sorted(live, key=lambda view: -view.kv_free())[:default_size])
        names = {view.upstream.upstream_id for view in most_free}
        return Group(most_free, False, not names.isdisjoint(contested))

    def _free(self, view: RunnerView) -> int:
        """Return the free memory minus the reserve for short prompts."""
        return view.kv_free() - int(view.kv_total * self._cost.scheduling.short_memory_reserve)

    @staticmethod
    def _in_id_order(views: list[RunnerView]) -> list[RunnerView]:
        return sorted(views, key=lambda view: view.upstream.upstream_id)
