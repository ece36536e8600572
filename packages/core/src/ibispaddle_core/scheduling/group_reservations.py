"""Memory of several engines for the prompts of one instance that need it.

The scheduler calls one method for each step: a prompt begins to reserve, a runner answers, a runner
leaves, a prompt ends. The decision which prompt begins, and on which group, is made here.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from . import least_work
from .admission import MIN_RETRY_AFTER_MS, Admission, AdmissionRefusal
from .backlog import Backlog
from .claims import MemoryClaimTable
from .cost import CostModel, PromptClass
from .groups import Group, GroupSelector
from .health import UpstreamHealth
from .messages import (
    Decision,
    Outcome,
    RefusalReason,
    Request,
    ReservationAnswered,
    ReservationOutcome,
    WaitingPrompt,
)
from .pacing import UpstreamPacing
from .placement import CLAIM_AFTER_MS, Choice, Placement
from .requests import RequestState
from .reservation_order import ReservationOrder
from .reservation_pace import ReservationPace
from .reservations import PromptReservations
from .runners import RunnerTable, RunnerView

# What the health of a runner learns from reservations that it did not answer itself.
_FAILURES = {
    ReservationOutcome.WRONG_UPSTREAM: Outcome.WRONG_UPSTREAM,
    ReservationOutcome.ANSWER_LOST: Outcome.FAILED,
    ReservationOutcome.UNREACHABLE: Outcome.FAILED,
}


@dataclass(frozen=True, slots=True)
class GroupAnswer:
    """Hold what follows from a runner's answer: at most one of a choice and a refusal."""

    decisions: list[Decision]
    choice: Choice | None = None  # The complete group's first runner; the prompt can be sent.
    refusal: AdmissionRefusal | None = None


class GroupReservations:
    """Decide which waiting prompts reserve memory, and on which runners."""

    def __init__(
        self,
        cost: CostModel,
        runners: RunnerTable,
        backlog: Backlog,
        claims: MemoryClaimTable,
        health: UpstreamHealth,
        pacing: UpstreamPacing,
        reservations: PromptReservations,
        order: ReservationOrder,
        groups: GroupSelector,
        placement: Callable[[], Placement],
        states: Mapping[str, RequestState],
    ) -> None:
        self._cost, self._runners, self._backlog = cost, runners, backlog
        self._claims, self._health, self._pacing = claims, health, pacing
        self._reservations, self._order, self._groups = reservations, order, groups
        self._placement, self._states = placement, states
        self.pace = ReservationPace()
        self.counts: Counter[str] = Counter()  # Groups by step, see `Scheduler.group_counts`.

    def try_divide(self, state: RequestState, now_ms: int) -> bool:
        """Start reservations for a prompt that fits one engine if several have the memory now."""
        if not self.pace.may_start(state.req.request_id, now_ms):
            return False
        live = self._usable(state, now_ms)
        if min(self._cost.preferred_segments(state.req), len(live)) < 2:
            return False
        contested = self._order.contested_runners(
            self._reservations.describe_waiting(state.req, ()), now_ms
        )
        group = self._groups.choose(state.req, live, contested, now_ms)
        return group.fits and self._reserve(state, group, now_ms)

    def begin(self, state: RequestState, idle_only: bool, now_ms: int) -> AdmissionRefusal | bool:
        """Start reservations for a waiting prompt and return whether it did, or a refusal."""
        req = state.req
        if not self.pace.may_start(req.request_id, now_ms):
            return False
        incomplete = self._reservations.reserving()
        if idle_only and incomplete:
            return False
        if self.must_yield(state, now_ms):
            return self._check_wait(state, now_ms)
        contested = self._order.contested_runners(
            self._reservations.describe_waiting(req, ()), now_ms
        )
        group = self._choose_group(state, self._usable(state, now_ms), contested, now_ms)
        # Reservations that wait for memory block other neighbours, so a neighbour above its share
        # must not make them.
        if not group.fits and (idle_only or incomplete or not group.views):
            self._record_waiting(state, now_ms)
            return self._check_wait(state, now_ms)
        if group.contested:
            names = [view.upstream.upstream_id for view in group.views]
            self._order.add_waiting(self._reservations.describe_waiting(req, names))
            return False
        return self._reserve(state, group, now_ms)

    def must_yield(self, state: RequestState, now_ms: int) -> bool:
        """Return whether a long prompt leaves the free memory to prompts of other instances.

        The free memory must be enough for the prompts that come before it and for itself.
        """
        if not self._order.has_fleet_prompts(now_ms):
            return False
        if state.prompt_class < PromptClass.LONG or not self._is_joint(state.req.model):
            return False
        own = self._describe(state, now_ms)
        before = self._order.prompts_before(own, self.holders(), now_ms)
        if not before:
            return False
        tokens = [own.tokens, *(prompt.tokens for prompt in before)]
        if sum(tokens) <= self._room(state):
            return False
        self._order.add_waiting(own)
        return True

    def holders(self) -> dict[str, int]:
        """Return the number of this instance's long prompts that hold memory, by workspace."""
        return dict(
            Counter(
                state.req.neighbour
                for state in self._states.values()
                if state.prompt_class >= PromptClass.LONG
                and (state.upstream_id is not None or state.reserving)
            )
        )

    def waiting(self) -> tuple[WaitingPrompt, ...]:
        """Return this instance's waiting prompts for the hubs."""
        return self._order.own_waiting()

    def handle_answer(
        self, event: ReservationAnswered, state: RequestState | None, now_ms: int
    ) -> GroupAnswer:
        """Process a runner's answer to a reservation."""
        is_current = self._reservations.is_waiting_for(event.request_id, event.handle)
        if is_current and event.outcome is ReservationOutcome.ANSWER_LOST:
            repeat = self._reservations.repeat(event.request_id, event.handle)
            if repeat is not None and self.pace.try_take(1, now_ms):
                return GroupAnswer([repeat])
        decisions, ready = self._reservations.handle_answer(event, now_ms)
        self._observe(event, now_ms)
        if event.granted:
            self.pace.give_back()
            if is_current:
                self._claims.remove(event.request_id, event.upstream_id)
        if state is None:
            return GroupAnswer(decisions)
        if not event.granted:
            self.pace.record_failure(event.request_id, event.upstream_id)
        if not is_current:
            return GroupAnswer(decisions)
        if not event.granted:
            return self._handle_refusal(event, state, decisions, now_ms)
        if not ready:
            return GroupAnswer(decisions)
        self.counts["granted"] += 1
        return GroupAnswer(decisions, self._choice(state, now_ms))

    def requeue(self, state: RequestState) -> list[Decision]:
        """Free the reservations of a prompt and queue it again for another group."""
        decisions = self._give_up(state)
        self._backlog.add(state)
        return decisions

    def _give_up(self, state: RequestState) -> list[Decision]:
        """Free the reservations of a prompt and remove it from the backlog."""
        decisions = self._reservations.release(state.req.request_id)
        self._claims.remove(state.req.request_id)
        self._backlog.remove(state)
        return decisions

    def release_unusable(self) -> tuple[list[Decision], list[RequestState]]:
        """Give up groups with a runner that takes no new work.

        Return the decisions, and the prompts that must be refused because their neighbour's queue is full.
        """

        def is_unusable(upstream_id: str) -> bool:
            view = self._runners.views.get(upstream_id)
            return view is None or not view.live

        decisions: list[Decision] = []
        refused = []
        for request_id in self._reservations.requests_using(is_unusable):
            state = self._states[request_id]
            if state.upstream_id is not None:
                continue
            decisions += self._give_up(state)
            if self._backlog.is_full(state.req.neighbour):
                refused.append(state)
            else:
                self._backlog.add(state)
        return decisions, refused

    def claim_waiting(self, now_ms: int) -> None:
        """Claim the memory that prompts have waited for at their runners for long."""
        for request_id, upstream_id, tokens in self._reservations.take_unclaimed(
            now_ms - CLAIM_AFTER_MS
        ):
            self._claims.add(request_id, upstream_id, tokens)

    def send_due(self, now_ms: int) -> list[Decision]:
        """Send the reservations that are due."""
        return self._reservations.send_due(now_ms, lambda: self.pace.try_take(1, now_ms))

    def discard(self, request_id: str) -> None:
        """Remove a prompt that has ended."""
        self._order.discard(request_id)
        self.pace.discard(request_id)

    def _is_joint(self, model: str) -> bool:
        return self._cost.supports_joint_prefill(model)

    def _describe(self, state: RequestState, now_ms: int) -> WaitingPrompt:
        req = state.req
        return replace(
            self._reservations.describe_waiting(req, ()),
            model=req.model,
            workspace=req.neighbour,
            tokens=self._cost.kv_tokens(req),
            latest_start_ms=self._next_bound_ms(req, now_ms),
        )

    def _next_bound_ms(self, req: Request, now_ms: int) -> int:
        """Return the latest start with which a prompt is in time, or ends at all if it is late.

        Further delay of a prompt that is late costs its caller less, until it could not end any more.
        """
        if req.ttft_objective_ms is None:
            return self._latest_start_ms(req)
        if self._is_late(req, now_ms):
            # Leaves time for one more prompt that may hold the memory.
            service_ms = self._cost.idle_ttft_ms(req) + self._cost.decode_ms(req)
            return self._latest_start_ms(req) - int(service_ms)
        return int(req.arrived_ms + req.ttft_objective_ms - self._cost.idle_ttft_ms(req))

    def _is_late(self, req: Request, now_ms: int) -> bool:
        """Return whether a prompt has an objective that it can no longer reach."""
        if req.ttft_objective_ms is None:
            return False
        first_ms = now_ms + self._cost.idle_ttft_ms(req)
        return first_ms > req.arrived_ms + req.ttft_objective_ms

    def _latest_start_ms(self, req: Request) -> int:
        first_ms = self._cost.idle_ttft_ms(req)
        ends_ms = req.deadline_ms - self._cost.decode_ms(req)
        return int(min(ends_ms, req.start_deadline_ms) - first_ms)

    def _record_waiting(self, state: RequestState, now_ms: int) -> None:
        """Report a prompt that found no memory to the other instances."""
        if self._is_joint(state.req.model):
            self._order.add_waiting(self._describe(state, now_ms))

    def _check_wait(self, state: RequestState, now_ms: int) -> AdmissionRefusal | bool:
        """Return a refusal if memory becomes free too late for a waiting prompt, or else false.

        The memory in use is expected to become free evenly over the time that the prompt itself would
        take. Work that takes longer makes the wait longer, so that no prompt is refused too early.
        """
        if not self._is_joint(state.req.model):
            return False
        own = self._describe(state, now_ms)
        before = self._order.prompts_before(own, self.holders(), now_ms)
        if self._is_late(state.req, now_ms):
            before = []  # They come first only until its deadline is near.
        missing = sum(prompt.tokens for prompt in before) + own.tokens - self._room(state)
        live = self._runners.live_for(state.req)
        used = sum(view.kv_total - view.kv_free() for view in live)
        if missing <= 0 or used <= 0:
            return False
        service_ms = self._cost.idle_ttft_ms(state.req) + self._cost.decode_ms(state.req)
        wait_ms = missing / used * service_ms
        if now_ms + wait_ms <= self._latest_start_ms(state.req):
            return False
        self.counts["too_late"] += 1
        return AdmissionRefusal(RefusalReason.NO_MEMORY, Admission.retry_after_ms(wait_ms))

    def _room(self, state: RequestState) -> int:
        """Return the free memory of the runners that may take a part of a prompt, now or soon."""
        cfg = self._cost.model(state.req.model)
        free = (
            view.kv_free()
            for view in self._runners.live_for(state.req)
            if cfg.upstream_slots is None or view.parts < cfg.upstream_slots
        )
        return sum(tokens for tokens in free if tokens > 0)

    def _usable(self, state: RequestState, now_ms: int) -> list[RunnerView]:
        """Return the runners for a prompt's group, without those that failed it if others suffice."""
        req = state.req
        live = self._runners.available_for(req, now_ms)
        invalid, failed = self.pace.invalid_at(req.request_id), self.pace.failed_at(req.request_id)
        if invalid:
            live = [view for view in live if view.upstream.upstream_id not in invalid]
        if not failed and not state.tried:
            return live
        left_out = state.tried.union(failed)
        others = [view for view in live if view.upstream.upstream_id not in left_out]
        return others if len(others) >= self._cost.preferred_segments(req) else live

    def _choose_group(
        self, state: RequestState, live: list[RunnerView], contested: set[str], now_ms: int
    ) -> Group:
        """Return the group for a prompt.

        `contested` are the runners that a prompt of another instance waits for which comes first.
        """
        placement = self._placement()
        if isinstance(placement, least_work.LeastWorkPlacement):
            group = placement.choose_group(state.req, live, contested, now_ms)
            return group or Group([], fits=False, contested=False)
        return self._groups.choose(state.req, live, contested, now_ms)

    def _reserve(self, state: RequestState, group: Group, now_ms: int) -> bool:
        req = state.req
        is_parallel = self._is_joint(req.model)
        if is_parallel and not self.pace.try_take(len(group.views), now_ms):
            return False
        # The request will be sent to the first runner of the group.
        self._pacing.count_sent(group.views[0].upstream.upstream_id, now_ms)
        for view in group.views[1:]:
            self._pacing.count_part(view.upstream.upstream_id, now_ms)
        self._order.discard(req.request_id)
        self._backlog.move_to_reserving(state)
        prefill_ms = 0.0
        if is_parallel:
            prefill_ms = self._cost.prefill_engine_ms(req.model, req.prompt_tokens)
        self._reservations.start(
            state,
            group.views,
            self._cost.kv_tokens(req),
            now_ms,
            prefill_ms / len(group.views),
            is_parallel,
        )
        self.counts["started"] += 1
        return True

    def _observe(self, event: ReservationAnswered, now_ms: int) -> None:
        """Record that a runner could not be asked, also for a group that has been given up."""
        outcome = _FAILURES.get(event.outcome)
        if outcome is not None and event.upstream_id in self._runners.views:
            self._health.observe(event.upstream_id, outcome, now_ms)

    def _handle_refusal(
        self,
        event: ReservationAnswered,
        state: RequestState,
        decisions: list[Decision],
        now_ms: int,
    ) -> GroupAnswer:
        """Decide whether a prompt waits for the runner, for another group, or is refused.

        Without joint prefill, reservations are sent one after the other, and a prompt keeps those that
        it has while a runner has no room.
        """
        is_joint = self._is_joint(state.req.model)
        if is_joint and event.outcome is ReservationOutcome.NO_ROOM:
            self._health.observe(event.upstream_id, Outcome.REJECTED, now_ms)
        if not is_joint and event.outcome is not ReservationOutcome.INVALID:
            return GroupAnswer(decisions)
        self.counts["refused"] += 1
        reason = self.pace.record_refusal(
            event.request_id, event.upstream_id, event.outcome, now_ms
        )
        if reason is not None:
            return GroupAnswer(decisions, refusal=AdmissionRefusal(reason, MIN_RETRY_AFTER_MS))
        self._record_waiting(state, now_ms)
        return GroupAnswer(decisions + self.requeue(state))

    def _choice(self, state: RequestState, now_ms: int) -> Choice:
        """Return the prediction for a prompt whose memory has been granted."""
        req = state.req
        views = [self._runners.views[u] for u in self._reservations.group(req.request_id)]
        tokens = req.prompt_tokens // len(views)
        prefill_ms = self._cost.prefill_engine_ms(req.model, req.prompt_tokens)
        part_ms = max(tokens / views[0].prefill_rate, prefill_ms / len(views))
        wait_ms = 0.0
        if self._is_joint(req.model):
            # The pending prefill includes this prompt's part, which was announced with the reservation.
            wait_ms = max(0.0, max(view.pending_prefill_ms(now_ms) for view in views) - part_ms)
        return Choice(
            views[0],
            wait_ms,
            wait_ms + part_ms,
            tokens,
            prefill_ms / len(views),
            pass_ms=self._cost.model(req.model).pass_ms,
        )
