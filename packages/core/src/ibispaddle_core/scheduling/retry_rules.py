"""Rules for attempts that fail, are silent or compete: what follows, and what they count as."""

from collections.abc import Collection, Sequence
from enum import Enum, auto

from ..shares import ShareCounters
from .admission import Admission
from .attempts import Attempts
from .cost import CostModel, PromptClass
from .health import UpstreamHealth
from .hedging import Hedging
from .messages import (
    AttemptEnded,
    AttemptSilent,
    CancelAttempt,
    ConfirmListing,
    Decision,
    Outcome,
    RetryPolicy,
)
from .queue import FairQueue
from .requests import RequestState
from .reservations import PromptReservations
from .retries import RetryBudget
from .runners import RunnerTable

# Consecutive renewals of a reservation that were not granted, after which a runner counts as silent. A single
# response may be lost.
SILENT_AFTER_RENEWALS = 2
# Number of such renewals after which the list is no longer read more often for a runner that stays in it.
MAX_LIST_CHECKS_AFTER_RENEWALS = 6
# Outcomes that prove that nothing ran.
NOT_RUN_OUTCOMES = (Outcome.REJECTED, Outcome.WRONG_UPSTREAM, Outcome.NOT_SENT)


class NextStep(Enum):
    """What follows the end of an attempt."""

    NOTHING = auto()  # The attempt is not in flight any more, or another one still is.
    FINISH = auto()
    RETRY = auto()
    REFUSE = auto()


class RetryRules:
    """Decide what follows an attempt that ends, is silent or gets its first output.

    The request's state and the views of its runners are updated; the caller queues or ends the request.
    """

    def __init__(
        self,
        cost: CostModel,
        shares: ShareCounters,
        runners: RunnerTable,
        queue: FairQueue,
        health: UpstreamHealth,
        admission: Admission,
        reservations: PromptReservations,
        attempts: Attempts,
        budget: RetryBudget,
        hedging: Hedging,
    ) -> None:
        self._cost, self._shares, self._runners, self._queue = cost, shares, runners, queue
        self._health, self._admission, self._reservations = health, admission, reservations
        self._attempts, self._retry_budget, self._hedging = attempts, budget, hedging

    # First output

    def record_first_token(self, state: RequestState, upstream_id: str | None, now_ms: int) -> None:
        """Record the first token of an attempt, which ends the one beside it."""
        if state.upstream_id is None:
            return
        upstream_id = upstream_id or state.upstream_id
        if upstream_id not in state.upstream_ids:
            return
        if not state.first_token:
            self._settle_race(state, upstream_id, now_ms)
        self._attempts.record_first_token(state)

    def _settle_race(self, state: RequestState, winner_id: str, now_ms: int) -> None:
        """Measure the first attempt, and keep only the winner of two in flight.

        The executor has cancelled the loser, which may have run.
        """
        hedge = state.hedge
        if hedge is None:
            if state.attempts == 1:
                self._hedging.record_first_output(state, now_ms)
            return
        self._hedging.record_first_output(state, now_ms)
        self._count_run(state)
        if winner_id == hedge.upstream_id:
            self._hedging.record_late_upstream(state.upstream_id or "", now_ms)
            self._attempts.clear(state)
            self._attempts.promote_hedge(state)
        else:
            self._attempts.clear_hedge(state)

    # End of an attempt

    def end_attempt(self, state: RequestState | None, event: AttemptEnded, now_ms: int) -> NextStep:
        """Apply the end of an attempt and return what follows."""
        self._observe_health(state, event, now_ms)
        if state is None:
            return NextStep.NOTHING
        if event.outcome is Outcome.COMPLETED and event.upstream_id in state.upstream_ids:
            if not state.first_token:
                self._settle_race(state, event.upstream_id, now_ms)
            self._attempts.settle(state, now_ms)
            return NextStep.FINISH
        hedge = state.hedge
        if hedge is not None and event.upstream_id == hedge.upstream_id:
            self._count_end(state, event, hedge.charged_ms)
            self._attempts.clear_hedge(state)
            return NextStep.NOTHING
        if state.upstream_id != event.upstream_id:
            return NextStep.NOTHING
        has_output = event.has_relayed_output or state.first_token
        self._attempts.clear(state)
        not_run = self._count_end(state, event, state.charged_ms)
        if hedge is not None:
            self._attempts.promote_hedge(state)
            return NextStep.NOTHING
        if self._may_follow(state, event, not_run, has_output, now_ms):
            return NextStep.RETRY
        return NextStep.REFUSE

    def _observe_health(self, state: RequestState | None, event: AttemptEnded, now_ms: int) -> None:
        if event.faulty_upstream_id is None:
            self._health.observe(event.upstream_id, event.outcome, now_ms)
        elif state is not None:
            self._health.observe_indirect_failure(
                event.faulty_upstream_id, now_ms - state.sent_ms, now_ms
            )

    def _count_end(self, state: RequestState, event: AttemptEnded, charged_ms: float) -> bool:
        """Count a failed attempt; return whether it provably did not run."""
        not_run = event.outcome in NOT_RUN_OUTCOMES
        if not_run:
            self._shares.refund(state.req.neighbour, charged_ms)
        else:
            self._count_run(state)
        if event.faulty_upstream_id is not None:
            state.tried.add(event.faulty_upstream_id)
        return not_run

    @staticmethod
    def _count_run(state: RequestState) -> None:
        state.may_have_run = True
        state.runs += 1

    def _may_follow(
        self,
        state: RequestState,
        event: AttemptEnded,
        not_run: bool,
        has_output: bool,
        now_ms: int,
    ) -> bool:
        """Return whether a retry follows a failed attempt, which is counted."""
        req = state.req
        return (
            self._may_retry(state, not_run, has_output, state.runs)
            and not self._queue.is_full(req.neighbour)
            and bool(self._runners.live_for(req))
            # An attempt that reached no upstream added no load, so its retry is not budgeted.
            and (
                event.outcome is Outcome.NOT_SENT
                or state.is_retry_granted
                or self._retry_budget.try_acquire(req.model, now_ms)
            )
        )

    def _may_retry(self, state: RequestState, not_run: bool, has_output: bool, runs: int) -> bool:
        """Return whether the request may be retried after a failed attempt, with its number of runs."""
        limit = self._cost.scheduling.max_attempts
        max_runs = limit if state.req.max_runs is None else state.req.max_runs
        # Attempts that did not run do not count as runs but are still bounded.
        if runs >= max_runs or state.attempts >= max(limit, max_runs):
            return False
        match state.req.retry_policy:
            case RetryPolicy.PROVED_NOT_RUN:
                return not_run
            case RetryPolicy.BEFORE_OUTPUT:
                return not has_output
            case RetryPolicy.ANY_TIME:
                return True

    # Silence

    def replace_silent(
        self, state: RequestState, event: AttemptSilent, now_ms: int
    ) -> list[Decision]:
        """Cancel a silent attempt if another upstream can take over at once.

        Silence alone is no reason to end an answer: without a retry, the attempt goes on until the
        deadline.
        """
        if state.upstream_id != event.upstream_id or state.cancelling:
            return []
        if state.first_token is not event.has_output:
            return []
        return self.cancel_for_retry(state, event.upstream_id, now_ms, is_silent=True)

    def cancel_for_retry(
        self, state: RequestState, upstream_id: str, now_ms: int, is_silent: bool
    ) -> list[Decision]:
        """Cancel the attempt in flight if a retry can follow, which is counted at once."""
        if state.hedge is not None or not self._can_replace(state, now_ms):
            return []
        if not self._retry_budget.try_acquire(state.req.model, now_ms):
            return []
        state.cancelling = state.is_retry_granted = True
        return [CancelAttempt(state.req.request_id, upstream_id, is_silent)]

    def _can_replace(self, state: RequestState, now_ms: int) -> bool:
        """Return whether a retry may follow the attempt in flight and other upstreams have room for it."""
        req = state.req
        others = [
            view
            for view in self._runners.available_for(req, now_ms)
            if view.upstream.upstream_id != state.upstream_id
        ]
        needed = self._cost.min_segments(req) if state.prompt_class is PromptClass.SPANNING else 1
        return (
            self._may_retry(state, False, state.first_token, state.runs + 1)
            and len(others) >= needed
            and not self._queue.is_full(req.neighbour)
            and now_ms + self._admission.service_ms(req) <= req.deadline_ms
        )

    def replace_down(
        self,
        states: Sequence[RequestState],
        down: Collection[str],
        listed: Collection[str],
        now_ms: int,
    ) -> list[Decision]:
        """Cancel the attempts whose runners are down, or have left the list and do not respond.

        Runners also count as down that are only slow to respond, so without a retry an attempt goes on. A
        stream that has started is left to the relay, which sees whether data still arrives.
        """
        decisions: list[Decision] = []
        for state in states:
            if state.upstream_id is None or state.first_token or state.cancelling:
                continue
            used = {view.upstream.upstream_id for view in self._attempts.views(state)}
            if not used.isdisjoint(down):
                upstream_id = state.upstream_id
                decisions += self.cancel_for_retry(state, upstream_id, now_ms, is_silent=False)
        for state in states:
            decisions += self.check_renewals(state, listed, is_list_new=True)
        return decisions

    def check_renewals(
        self, state: RequestState, listed: Collection[str], is_list_new: bool = False
    ) -> list[Decision]:
        """Cancel an attempt whose runner has left the list and does not respond, and free its memory.

        A runner that has left the list may still serve, and one that does not respond may only be slow.
        The other runners of its group keep memory for the attempt, so that it cannot wait for a timeout.
        """
        request_id, upstream_id = state.req.request_id, state.upstream_id
        if upstream_id is None or state.cancelling:
            return []
        unconfirmed = self._reservations.unconfirmed_renewals(request_id, upstream_id)
        if unconfirmed < SILENT_AFTER_RENEWALS:
            return []
        if upstream_id in listed:
            is_recheck_due = not is_list_new and unconfirmed <= MAX_LIST_CHECKS_AFTER_RENEWALS
            return [ConfirmListing(request_id, upstream_id)] if is_recheck_due else []
        state.cancelling = True
        cancel = CancelAttempt(request_id, upstream_id, is_silent=True)
        return [*self._reservations.free(request_id), cancel]
