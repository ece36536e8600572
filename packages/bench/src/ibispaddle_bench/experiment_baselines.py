"""Baseline placements without prediction, request classes, priorities or queues in the instance."""

from collections.abc import Callable
from itertools import count

from ibispaddle_core.scheduling import Request, Scheduler
from ibispaddle_core.scheduling.placement import Choice
from ibispaddle_core.scheduling.runners import RunnerTable, RunnerView


class BaselinePlacement:
    """Dispatch every request immediately to the runner with the lowest score."""

    def __init__(self, score: Callable[[RunnerView], float]) -> None:
        self._score = score

    def priority(self, req: Request) -> int:
        """Return the same priority for all requests."""
        return 5

    def choose(
        self,
        req: Request,
        tried: set[str],
        idle_only: bool,
        runners: RunnerTable,
        now_ms: int,
    ) -> Choice | None:
        """Return the untried runner with the lowest score; ties go to the lowest id."""
        views = runners.live(req.model)
        views = [v for v in views if v.upstream.upstream_id not in tried] or views
        if not views:
            return None
        view = min(views, key=self._score)
        return Choice(view, 0.0, req.prompt_tokens / view.prefill_rate, req.prompt_tokens)


def round_robin(scheduler: Scheduler) -> None:
    """Choose the runner that was chosen least recently."""
    next_sequence = count(1)
    last_chosen: dict[str, int] = {}

    class RoundRobin(BaselinePlacement):
        def choose(
            self,
            req: Request,
            tried: set[str],
            idle_only: bool,
            runners: RunnerTable,
            now_ms: int,
        ) -> Choice | None:
            choice = super().choose(req, tried, idle_only, runners, now_ms)
            if choice is not None:
                last_chosen[choice.view.upstream.upstream_id] = next(next_sequence)
            return choice

    scheduler.placement = RoundRobin(lambda view: last_chosen.get(view.upstream.upstream_id, 0))


def least_requests(scheduler: Scheduler) -> None:
    """Choose the runner with the fewest outstanding requests."""

    def score(view: RunnerView) -> float:
        load = view.load
        if load is None:
            return len(view.sent)
        unreported = sum(work.sent_ms > load.observed_ms for work in view.sent.values())
        return load.running + load.waiting + unreported

    scheduler.placement = BaselinePlacement(score)


def least_tokens(scheduler: Scheduler) -> None:
    """Choose the runner with the fewest outstanding prompt tokens."""

    def score(view: RunnerView) -> float:
        load = view.load
        reported_ms = load.observed_ms if load is not None else -1
        unreported = sum(w.prefill_tokens for w in view.sent.values() if w.sent_ms > reported_ms)
        return unreported + (load.queued_prefill_tokens if load is not None else 0)

    scheduler.placement = BaselinePlacement(score)


POLICIES: dict[str, Callable[[Scheduler], None] | None] = {
    "ibispaddle": None,
    "round_robin": round_robin,
    "least_requests": least_requests,
    "least_tokens": least_tokens,
}
