"""Attempts in flight, with their use of the runners and their charges."""

from ..shares import ShareCounters
from .admission import DispatchRate
from .backlog import Backlog
from .claims import MemoryClaimTable
from .cost import CostModel, PromptClass
from .messages import Dispatch, RetryPolicy
from .pacing import UpstreamPacing
from .placement import Choice
from .prefixes import PrefixIndex
from .requests import HedgeAttempt, RequestState
from .reservations import PromptReservations
from .retries import RetryBudget
from .runners import RunnerTable, RunnerView, SentRequest
from .timers import Timers

# A long prompt that several engines prefill may take this multiple of its predicted time, because
# engines prefill the parts of later prompts first. A retry would repeat the whole prefill.
LONG_TIMEOUT_FACTOR = 2


class Attempts:
    """Start and end attempts and update the views of their runners."""

    def __init__(
        self,
        cost: CostModel,
        shares: ShareCounters,
        runners: RunnerTable,
        backlog: Backlog,
        claims: MemoryClaimTable,
        reservations: PromptReservations,
        prefixes: PrefixIndex,
        dispatch_rate: DispatchRate,
        budget: RetryBudget,
        timers: Timers,
        pacing: UpstreamPacing,
    ) -> None:
        self._cost = cost
        self._shares = shares
        self._runners = runners
        self._backlog = backlog
        self._claims = claims
        self._reservations = reservations
        self._prefixes = prefixes
        self._dispatch_rate = dispatch_rate
        self._retry_budget = budget
        self._timers = timers
        self._pacing = pacing

    def start(
        self,
        state: RequestState,
        choice: Choice,
        priority: int,
        handles: tuple[str, ...],
        now_ms: int,
    ) -> Dispatch:
        """Remove the request from the queue and dispatch it to the chosen runner."""
        req = state.req
        self._backlog.remove(state)
        self._claims.remove(req.request_id)
        upstream_id = choice.view.upstream.upstream_id
        if not handles:  # With reservations, it was counted when the group was chosen.
            self._pacing.count_sent(upstream_id, now_ms)
        for view in choice.helpers:
            self._pacing.count_part(view.upstream.upstream_id, now_ms)
        if state.attempts == 0:
            self._retry_budget.count_first_attempt(req.model, now_ms)
        state.attempts += 1
        state.sent_ms = now_ms
        state.tried.add(upstream_id)
        state.upstream_id = upstream_id
        state.cancelling = state.first_token = state.is_retry_granted = False
        state.tokens = 0
        state.expected_ms = choice.ttft_ms
        state.first_token_due_ms = self._first_token_due_ms(state, choice, now_ms)
        self._add_first_token_timer(state)
        state.helper_ids = tuple(view.upstream.upstream_id for view in choice.helpers)
        group = self._reservations.group(req.request_id) if handles else [upstream_id]
        for member in group:
            if handles:
                self._pacing.count_part(member, now_ms)
            work = SentRequest(
                state.prompt_class,
                priority,
                choice.prefill_tokens,
                0 if handles else self._cost.kv_tokens(req),
                now_ms,
                choice.prefill_ms,
                is_part=member != upstream_id,
                wait_ms=_wait_ms(self._runners.views[member], choice, now_ms),
            )
            self._runners.views[member].add(req.request_id, work)
        for member, handle in zip(group, handles, strict=False):
            self._runners.views[member].begin_prefill(handle)
        self._add_parts(state, choice, priority, now_ms)
        state.charged_ms = state.cost_ms
        self._shares.charge(req.neighbour, state.charged_ms, now_ms)
        self._dispatch_rate.count(self._backlog.lane(state), state.cost_ms, now_ms)
        self._prefixes.record(req, upstream_id)
        segment_upstream_ids = tuple(group) if handles else ()
        return Dispatch(
            req.request_id,
            upstream_id,
            priority,
            handles,
            segment_upstream_ids,
            state.helper_ids,
            choice.ttft_ms,
        )

    def start_hedge(
        self, state: RequestState, choice: Choice, priority: int, now_ms: int
    ) -> Dispatch:
        """Dispatch the request to a second runner, beside the attempt in flight."""
        req, view = state.req, choice.view
        upstream_id = view.upstream.upstream_id
        self._pacing.count_sent(upstream_id, now_ms)
        state.attempts += 1
        state.tried.add(upstream_id)
        helper_ids = tuple(helper.upstream.upstream_id for helper in choice.helpers)
        due_ms = self._first_token_due_ms(state, choice, now_ms)
        state.hedge = HedgeAttempt(
            upstream_id, helper_ids, now_ms, choice.ttft_ms, due_ms, state.cost_ms
        )
        work = SentRequest(
            state.prompt_class,
            priority,
            choice.prefill_tokens,
            self._cost.kv_tokens(req),
            now_ms,
            choice.prefill_ms,
            wait_ms=_wait_ms(view, choice, now_ms),
        )
        view.add(req.request_id, work)
        self._add_parts(state, choice, priority, now_ms)
        self._shares.charge(req.neighbour, state.cost_ms, now_ms)
        return Dispatch(
            req.request_id,
            upstream_id,
            priority,
            helper_ids=helper_ids,
            first_token_ms=choice.ttft_ms,
            is_hedge=True,
        )

    def promote_hedge(self, state: RequestState) -> None:
        """Make the hedge the only attempt in flight, after the first one was cleared."""
        hedge, state.hedge = state.hedge, None
        assert hedge is not None and state.upstream_id is None
        state.upstream_id, state.helper_ids = hedge.upstream_id, hedge.helper_ids
        state.sent_ms, state.expected_ms = hedge.sent_ms, hedge.expected_ms
        state.charged_ms = hedge.charged_ms
        state.first_token_due_ms = hedge.first_token_due_ms
        self._add_first_token_timer(state)

    def clear_hedge(self, state: RequestState) -> None:
        """Remove the hedge of the request, if any, from its runners."""
        if state.hedge is None:
            return
        for upstream_id in (state.hedge.upstream_id, *state.hedge.helper_ids):
            if (view := self._runners.views.get(upstream_id)) is not None:
                view.remove(state.req.request_id)
        state.hedge = None

    def _first_token_due_ms(self, state: RequestState, choice: Choice, now_ms: int) -> int:
        req = state.req
        due_ms = choice.ttft_ms + self._cost.first_token_timeout_ms(req.model)
        if self._cost.supports_joint_prefill(req.model) and state.prompt_class >= PromptClass.LONG:
            due_ms += (LONG_TIMEOUT_FACTOR - 1) * choice.ttft_ms
        if not req.streams:
            due_ms += self._cost.max_decode_ms(req)
        # A late engine is busy with the prefill of other prompts, and another engine would start this
        # prefill over. The attempt is therefore cancelled only when the caller is about to time out.
        silence_deadline_ms = req.arrived_ms + req.max_silence_ms
        return max(now_ms + int(due_ms), silence_deadline_ms)

    def _add_first_token_timer(self, state: RequestState) -> None:
        """Start the timeout of the attempt, which only applies to attempts that may be retried."""
        req = state.req
        max_runs = self._cost.scheduling.max_attempts if req.max_runs is None else req.max_runs
        if req.retry_policy is not RetryPolicy.PROVED_NOT_RUN and state.runs + 1 < max_runs:
            self._timers.add_first_token(state)

    def _add_parts(self, state: RequestState, choice: Choice, priority: int, now_ms: int) -> None:
        """Add the parts that helpers prefill to their views."""
        for view in choice.helpers:
            wait_ms = _wait_ms(view, choice, now_ms)
            part = SentRequest(
                state.prompt_class,
                priority,
                choice.prefill_tokens,
                0,
                now_ms,
                choice.prefill_ms,
                True,
                wait_ms,
            )
            view.add(state.req.request_id, part)

    def record_first_token(self, state: RequestState) -> None:
        """Record that the prefill of the attempt in flight is complete."""
        if state.upstream_id is None:
            return
        state.first_token = True
        for view in self.views(state):
            view.record_first_token(state.req.request_id)

    def views(self, state: RequestState) -> list[RunnerView]:
        """Return the runners that the request's attempt or reservations use."""
        request_id = state.req.request_id
        ids = (
            self._reservations.group(request_id)
            if request_id in self._reservations
            else [state.upstream_id]
        )
        ids = [*ids, *state.helper_ids]
        return [self._runners.views[i] for i in ids if i is not None and i in self._runners.views]

    def settle(self, state: RequestState, now_ms: int) -> None:
        """Adjust the charge of a completed attempt to the length of its output."""
        req = state.req
        self._cost.observe_output(req, state.tokens)
        decode_ms = self._cost.decode_engine_ms(req.model, state.tokens)
        estimate_ms = self._cost.decode_engine_ms(req.model, self._cost.expected_output(req))
        if decode_ms > estimate_ms:
            self._shares.charge(req.neighbour, decode_ms - estimate_ms, now_ms)
        else:
            self._shares.refund(req.neighbour, estimate_ms - decode_ms)

    def clear(self, state: RequestState) -> None:
        """Remove the attempt of the request from its runners."""
        for view in self.views(state):
            view.remove(state.req.request_id)
        state.upstream_id = None
        state.helper_ids = ()
        state.cancelling = False


def _wait_ms(view: RunnerView, choice: Choice, now_ms: int) -> float:
    """Return the predicted time until prefill starts: pending prefill plus half a pass on average."""
    return view.pending_prefill_ms(now_ms) + choice.pass_ms / 2
