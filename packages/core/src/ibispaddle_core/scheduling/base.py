"""The scheduler of one instance, which turns events into decisions without any I/O."""

from collections.abc import Callable, Collection, Mapping
from math import inf
from random import Random
from typing import assert_never

from ..runstate import RunState
from ..settings.fleet import FleetConfig
from ..shares import ShareCounters
from . import least_work, peer_work
from .admission import MIN_RETRY_AFTER_MS, Admission, AdmissionRefusal
from .attempts import Attempts
from .backlog import Backlog
from .claims import MemoryClaimTable
from .cost import CostModel, PromptClass
from .distance import Distances
from .evacuations import EvacuationTable
from .exceptions import DuplicateRequestError
from .group_reservations import GroupReservations
from .groups import GroupSelector
from .health import UpstreamHealth
from .hedging import Hedging
from .lane_backoff import LaneBackoff
from .messages import (
    AttemptCounts,
    AttemptDelayed,
    AttemptEnded,
    AttemptSilent,
    CallerDisconnected,
    CancelAttempt,
    ConfigurationReplaced,
    ConfirmDelay,
    ConfirmSilence,
    Decision,
    DeclineHedge,
    EvacuationsChanged,
    Event,
    FirstToken,
    FleetAttempts,
    FleetFirstOutputs,
    FleetPaces,
    HedgeLimit,
    LoadReported,
    PeerConsumption,
    PeerMemoryClaims,
    PeerWaitingPrompts,
    PeerWork,
    RefusalReason,
    Refuse,
    Request,
    RequestArrived,
    ReservationAnswered,
    ReservationRenewed,
    Tick,
    TokensRelayed,
    UpstreamResponded,
    UpstreamsChanged,
    WaitingPrompt,
)
from .pacing import UpstreamPacing
from .placement import Choice, Placement, PredictedPlacement, choose_allowed
from .prefixes import PrefixIndex
from .queue import FairQueue, Lane
from .requests import RequestState
from .reservation_order import ReservationOrder
from .reservations import PromptReservations
from .retries import RetryBudget
from .retry_rules import NextStep, RetryRules
from .runners import RunnerTable
from .subsets import PEER_EXPIRY_MS, REFRESH_MS, RunnerSubsets
from .timers import Timers
from .upstream_list import UpstreamList

# Interval at which an overdue attempt that no other upstream can replace is checked again.
SILENCE_RECHECK_MS = 500


class Scheduler:
    """Decide admission, order, placement, deadlines, retries and memory reservations.

    The scheduler is deterministic: equal constructor arguments and equal events at equal times give
    equal decisions. An admitted request ends when an attempt completes, when its caller disconnects or
    with `Refuse`, which is returned at the deadline at the latest.
    """

    def __init__(
        self,
        config: FleetConfig,
        seed: int,
        instance_boot: str,
        wall_offset_ms: int = 0,
        data_centre: str = "",
    ) -> None:
        self.shares = ShareCounters({n: c.weight for n, c in config.neighbours.items()})
        self.cost = CostModel(config)
        self.pacing = UpstreamPacing()
        self._distances = Distances(data_centre)
        self.runners = RunnerTable(self.cost, self.pacing)
        self.queue = FairQueue(config.scheduling.max_queue_per_neighbour)
        self._backlog = Backlog(self.queue, self.shares, self.cost)
        # Returns the runners that a request may use now, or None if it may use all of them.
        self.allowed_runners: Callable[[Request], Collection[str] | None] = lambda req: None
        # Returns whether waiting requests must stay queued. Their deadlines still apply.
        self.is_dispatch_paused: Callable[[], bool] = lambda: False
        self._prefixes = PrefixIndex()
        self._rng = Random(f"{seed}/{instance_boot}")
        self._claims = MemoryClaimTable()
        self._subsets = RunnerSubsets(instance_boot, wall_offset_ms)
        self.evacuations = EvacuationTable()
        self._admission = Admission(
            self.cost,
            self.queue,
            self.shares,
            self.runners,
            self._subsets,
            self.pacing,
            self.evacuations,
        )
        self.placement: Placement = PredictedPlacement(
            self.cost, self._prefixes, self._subsets, self._claims, self.shares, self._rng
        )
        self.health = UpstreamHealth()
        self._peer_work = peer_work.PeerWorkTable()
        self._predicted_placement = self.placement
        self.placement = self._configured_placement()
        self._retry_budget = RetryBudget(*_retry_budget_settings(config))
        self._reservations = PromptReservations(self.runners, instance_boot, wall_offset_ms)
        self._reservation_order = ReservationOrder(wall_offset_ms)
        self._states: dict[str, RequestState] = {}
        self._groups = GroupReservations(
            self.cost,
            self.runners,
            self._backlog,
            self._claims,
            self.health,
            self.pacing,
            self._reservations,
            self._reservation_order,
            GroupSelector(self.cost, self._rng),
            lambda: self.placement,
            self._states,
        )
        self._timers = Timers(self._states)
        self._attempts = Attempts(
            self.cost,
            self.shares,
            self.runners,
            self._backlog,
            self._claims,
            self._reservations,
            self._prefixes,
            self._admission.dispatch_rate,
            self._retry_budget,
            self._timers,
            self.pacing,
        )
        self.hedging = Hedging(
            config.scheduling.hedge_fraction,
            self.cost,
            self.runners,
            self.queue,
            self.health,
            self.pacing,
            self._admission,
            self._retry_budget,
        )
        self._retry_rules = RetryRules(
            self.cost,
            self.shares,
            self.runners,
            self.queue,
            self.health,
            self._admission,
            self._reservations,
            self._attempts,
            self._retry_budget,
            self.hedging,
        )
        self._lane_backoff = LaneBackoff()
        self._upstream_list = UpstreamList(
            self.cost, self.runners, self.health, self.pacing, self.evacuations
        )

    @classmethod
    def from_config(
        cls,
        config: FleetConfig,
        seed: int,
        instance_boot: str,
        wall_offset_ms: int = 0,
        data_centre: str = "",
    ) -> "Scheduler":
        """Create a scheduler.

        `wall_offset_ms` is the wall-clock time minus the monotonic time. It converts the times that
        instances and runners have in common: the expiry in KV handles, the arrival of waiting prompts
        and the periods of the secondary subsets. `data_centre` is the instance's own, from which
        distances count.
        """
        return cls(config, seed, instance_boot, wall_offset_ms, data_centre)

    @property
    def active(self) -> int:
        """Return the number of admitted requests that have not ended."""
        return len(self._states)

    @property
    def group_counts(self) -> Mapping[str, int]:
        """Return the groups of engines since the start by what happened to them.

        `started` ones were requested, `granted` and `refused` ones answered; for a prompt that was
        `too_late` no group was requested, and `held_back` counts delays by the instance's budget.
        """
        return {**self._groups.counts, "held_back": self._groups.pace.held_back}

    @property
    def retry_budget_refusals(self) -> int:
        """Return the number of retries that the budget has refused since the start."""
        return self._retry_budget.refused

    def consumption(self) -> dict[str, float]:
        """Return this instance's cumulative consumption for gossip, in ms of engine time."""
        return self.shares.own_counters()

    def memory_claims(self) -> dict[str, int]:
        """Return the memory claims of waiting prompts for gossip, in tokens by runner."""
        return self._claims.own()

    def waiting_prompts(self) -> tuple[WaitingPrompt, ...]:
        """Return the prompts that wait for memory on several engines, for gossip."""
        return self._reservation_order.own(self._reservations.reserving())

    def handle(self, event: Event, now_ms: int) -> list[Decision]:
        """Process an event and return the resulting decisions in order.

        Raise `DuplicateRequestError` if the id of an arriving request is already being scheduled.
        """
        decisions = self._expire(now_ms)
        match event:
            case RequestArrived(request):
                decisions += self._admit(request, now_ms)
            case LoadReported(load):
                known = self.runners.views.get(load.upstream_id)
                if known and known.load and known.load.boot_id != load.boot_id:
                    self._prefixes.remove_runner(load.upstream_id)
                self.runners.apply_load(load)
            case UpstreamsChanged(upstreams):
                self._upstream_list.replace(upstreams)
                decisions += self._change_upstreams(now_ms)
            case EvacuationsChanged(data_centres):
                decisions += self._evacuate(data_centres, now_ms)
            case FirstToken(request_id, upstream_id):
                if (state := self._states.get(request_id)) is not None:
                    self._retry_rules.record_first_token(state, upstream_id, now_ms)
            case TokensRelayed(request_id, tokens):
                if (state := self._states.get(request_id)) is not None:
                    state.tokens += tokens
            case AttemptEnded():
                decisions += self._handle_attempt_end(event, now_ms)
            case AttemptSilent(request_id):
                if (state := self._states.get(request_id)) is not None:
                    decisions += self._retry_rules.replace_silent(state, event, now_ms)
            case AttemptDelayed():
                decisions += self._try_hedge(event, now_ms)
            case CallerDisconnected(request_id):
                if (state := self._states.get(request_id)) is not None:
                    decisions += self._end(state)
            case PeerConsumption(instance_boot, consumed_ms):
                self.shares.merge(instance_boot, consumed_ms, now_ms)
                if now_ms >= self._subsets.refreshed_ms + REFRESH_MS:
                    self._subsets.refresh(self.shares.recent_peers(now_ms - PEER_EXPIRY_MS), now_ms)
            case PeerMemoryClaims(instance_boot, claimed):
                self._claims.merge(instance_boot, claimed, now_ms)
            case PeerWork(instance, work, avoided, choice_rank, waiting, holders):
                self.runners.choice_rank = choice_rank
                self.health.merge_peer_avoided(avoided, len(self.runners.views), now_ms)
                self._peer_work.merge(instance, work, now_ms)
                self._reservation_order.replace_fleet(waiting, holders, now_ms)
            case FleetAttempts():
                self._retry_budget.set_fleet_attempts(event, now_ms)
                self.hedging.set_fleet_attempts(event, now_ms)
            case FleetFirstOutputs():
                self.hedging.set_fleet_quantiles(event, now_ms)
            case FleetPaces():
                self.pacing.set_fleet(event, now_ms)
                self.pacing.forget_missing(self.runners.views.keys())
            case UpstreamResponded():
                if self._upstream_list.record_response(event, now_ms):
                    decisions += self._change_upstreams(now_ms)
            case PeerWaitingPrompts():
                self._reservation_order.merge(event, now_ms)
            case ReservationAnswered():
                decisions += self._handle_reservation_answer(event, now_ms)
            case ReservationRenewed(request_id):
                self._reservations.record_renewal(event)
                if (state := self._states.get(request_id)) is not None:
                    decisions += self._retry_rules.check_renewals(state, self._upstream_list.ids)
            case ConfigurationReplaced(config):
                self._replace_configuration(config, now_ms)
            case Tick():
                pass
            case _:
                assert_never(event)
        decisions += self._dispatch_waiting(now_ms)
        self._groups.claim_waiting(now_ms)
        decisions += self._groups.send_due(now_ms)
        return decisions

    def _replace_configuration(self, config: FleetConfig, now_ms: int) -> None:
        self.cost.replace(config)
        self.shares.replace_weights({n: c.weight for n, c in config.neighbours.items()})
        self.queue.replace_bound(config.scheduling.max_queue_per_neighbour)
        self._retry_budget.replace(*_retry_budget_settings(config))
        self.hedging.replace_fraction(config.scheduling.hedge_fraction)
        self.runners.refresh_models()
        self._upstream_list.apply_limits(now_ms)
        self.placement = self._configured_placement()

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return the latest time of the next `Tick`, or None while nothing waits."""
        times = [self._lane_backoff.next_try_ms(lane) for lane in self.queue.lanes()]
        for next_ms in (self._timers.next_ms(), self._reservations.next_wakeup_ms()):
            if next_ms is not None:
                times.append(next_ms)
        return max(now_ms, min(times)) if times else None

    def _admit(self, req: Request, now_ms: int) -> list[Decision]:
        if req.request_id in self._states:
            raise DuplicateRequestError(f"request {req.request_id!r} is already being scheduled")
        prompt_class = self.cost.prompt_class(req)
        refusal = self._admission.check(req, (prompt_class, req.model), now_ms)
        if refusal is not None:
            return [
                Refuse(req.request_id, refusal.reason, RunState.NOT_RUN, refusal.retry_after_ms)
            ]
        state = RequestState(req, prompt_class, self.cost.engine_ms(req))
        self._states[req.request_id] = state
        self._timers.add_deadline(state)
        if req.patience_ms is not None:
            self._timers.add_start_deadline(state, int(self._admission.latest_start_ms(req)))
        self._backlog.add(state)
        return []

    def _dispatch_waiting(self, now_ms: int) -> list[Decision]:
        """Dispatch waiting requests, the neighbour with the lowest consumption first."""
        decisions: list[Decision] = []
        # Totals are computed only before a choice, because reports of many instances arrive far more often.
        if self.queue.lanes() and self._peer_work.has_news(now_ms):
            self.runners.replace_peers(self._peer_work.totals(now_ms))
        if self.queue.lanes() and self.is_dispatch_paused():
            for lane in self.queue.lanes():
                self._lane_backoff.back_off(lane, now_ms)
            return []
        min_consumption: float | None = None
        for lane in self.queue.lanes():
            if now_ms < self._lane_backoff.next_try_ms(lane):
                continue
            if min_consumption is None:
                min_consumption = self._backlog.min_consumption(now_ms)
            while (started := self._dispatch_from_lane(lane, min_consumption, now_ms)) is not None:
                decisions += started
            if self.queue.neighbours(lane):
                self._lane_backoff.back_off(lane, now_ms)
        return decisions

    def _dispatch_from_lane(
        self, lane: Lane, min_consumption: float, now_ms: int
    ) -> list[Decision] | None:
        """Start one request of the lane, or return None if all tried requests must wait."""
        # Prompts that fit one engine are divided only while no neighbour is backlogged, which `inf`
        # stands for. Otherwise they would take engines from neighbours that come first.
        may_divide = min_consumption == inf
        for state, idle_only in self._backlog.candidates(lane, min_consumption):
            started = self._try_start(state, idle_only, may_divide, now_ms)
            if started is not None:
                return started
        return None

    def _try_start(
        self, state: RequestState, idle_only: bool, may_divide: bool, now_ms: int
    ) -> list[Decision] | None:
        """Dispatch, refuse or reserve memory for a request, or return None if it must wait."""
        req = state.req
        refusal = self._admission.check_upstreams(req)
        if refusal is not None:
            return self._refuse(state, refusal.reason, refusal.retry_after_ms)
        held_ms = self._admission.held_ms(req.model, now_ms)
        if now_ms + held_ms + self._admission.service_ms(req) > req.deadline_ms:
            wait_ms = self._admission.queue_wait_ms(
                self._backlog.lane(state), req.neighbour, now_ms
            )
            wait_ms = max(wait_ms, held_ms)
            return self._refuse(
                state, RefusalReason.DEADLINE, self._admission.retry_after_ms(wait_ms)
            )
        if state.prompt_class is PromptClass.SPANNING:
            return self._begin_group(state, idle_only, now_ms)
        allowed = self.allowed_runners(req)
        if allowed is not None:
            choice = choose_allowed(req, allowed, self.runners, self.cost, now_ms)
        elif self._should_divide(state, may_divide) and self._groups.try_divide(state, now_ms):
            return []
        elif self._groups.must_yield(state, now_ms):
            return self._begin_group(state, idle_only, now_ms)
        else:
            choice = self.placement.choose(req, state.tried, idle_only, self.runners, now_ms)
        if choice is None:
            is_long = state.prompt_class is PromptClass.LONG
            if is_long and allowed is None and self.cost.supports_joint_prefill(req.model):
                # No single engine can take the prompt now, but several together may.
                return self._begin_group(state, idle_only, now_ms)
            return None
        return [self._dispatch(state, choice, (), now_ms)]

    def _should_divide(self, state: RequestState, may_divide: bool) -> bool:
        """Return whether to try reservations on several engines for a prompt that fits one.

        With joint prefill, such a prompt needs no reservations.
        """
        is_long = state.prompt_class is PromptClass.LONG
        return is_long and may_divide and not self.cost.supports_joint_prefill(state.req.model)

    def _dispatch(
        self, state: RequestState, choice: Choice, handles: tuple[str, ...], now_ms: int
    ) -> Decision:
        priority = self.placement.priority(state.req)
        self._reservation_order.discard(state.req.request_id)
        dispatch = self._attempts.start(state, choice, priority, handles, now_ms)
        if state.attempts == 1 and not handles:
            due_ms = self.hedging.due_ms(state, now_ms)
            if due_ms is not None:
                state.hedge_due_ms = due_ms
                self._timers.add_hedge(state)
        return dispatch

    def _begin_group(
        self, state: RequestState, idle_only: bool, now_ms: int
    ) -> list[Decision] | None:
        """Reserve memory on several engines, or return None if the prompt must wait."""
        match self._groups.begin(state, idle_only, now_ms):
            case AdmissionRefusal(reason, retry_after_ms):
                return self._refuse(state, reason, retry_after_ms)
            case is_started:
                return [] if is_started else None

    def _handle_reservation_answer(self, event: ReservationAnswered, now_ms: int) -> list[Decision]:
        state = self._states.get(event.request_id)
        answer = self._groups.handle_answer(event, state, now_ms)
        if state is not None and answer.refusal is not None:
            refusal = self._refuse(state, answer.refusal.reason, answer.refusal.retry_after_ms)
            return answer.decisions + refusal
        if state is None or answer.choice is None:
            return answer.decisions
        handles = self._reservations.handles(event.request_id)
        return [*answer.decisions, self._dispatch(state, answer.choice, handles, now_ms)]

    def _handle_attempt_end(self, event: AttemptEnded, now_ms: int) -> list[Decision]:
        state = self._states.get(event.request_id)
        step = self._retry_rules.end_attempt(state, event, now_ms)
        if state is None or step is NextStep.NOTHING:
            return []
        if step is NextStep.FINISH:
            return self._finish(state)
        decisions = self._reservations.release(event.request_id)
        if step is NextStep.REFUSE:
            return decisions + self._refuse(
                state, RefusalReason.UPSTREAM_FAILED, MIN_RETRY_AFTER_MS
            )
        self._backlog.add(state)
        return decisions

    def _try_hedge(self, event: AttemptDelayed, now_ms: int) -> list[Decision]:
        state = self._states.get(event.request_id)
        if state is None or state.upstream_id != event.upstream_id or not state.may_be_hedged:
            return []
        choice: Choice | HedgeLimit
        if self.is_dispatch_paused() or self.allowed_runners(state.req) is not None:
            choice = HedgeLimit.NO_UPSTREAM
        elif self._groups.must_yield(state, now_ms):
            self._reservation_order.discard(
                state.req.request_id
            )  # The prompt itself does not wait.
            choice = HedgeLimit.OVERLOAD
        else:
            choice = self.hedging.choose(state, self.placement, now_ms)
        if isinstance(choice, HedgeLimit):
            return [DeclineHedge(event.request_id, event.upstream_id, choice)]
        priority = self.placement.priority(state.req)
        return [self._attempts.start_hedge(state, choice, priority, now_ms)]

    @property
    def is_waiting(self) -> bool:
        """Return whether requests wait for an upstream."""
        return bool(self.queue.lanes())

    def try_waiting_at_next_event(self) -> None:
        """Try all lanes at the next event instead of after their backoff.

        Called when the work of the fleet has changed.
        """
        self._lane_backoff.clear()

    @property
    def attempt_totals(self) -> Mapping[str, AttemptCounts]:
        """Return the attempts of this instance since its start by service, for the other instances."""
        return self._retry_budget.totals

    def own_work(self, instance: str, now_ms: int) -> PeerWork:
        """Return this instance's work in flight and avoided upstreams, for the other instances."""
        return PeerWork(
            instance,
            self.runners.own_work(now_ms),
            self.health.own_avoided(now_ms),
            waiting=self._groups.waiting(),
            holders=self._groups.holders(),
        )

    def _configured_placement(self) -> Placement:
        return least_work.placement_from_config(
            self.cost,
            self.health,
            self._rng,
            self._predicted_placement,
            self.pacing.cold,
            self._distances,
        )

    def _evacuate(self, data_centres: frozenset[str], now_ms: int) -> list[Decision]:
        if not self.evacuations.replace(data_centres):
            return []
        self.try_waiting_at_next_event()  # They may have to be refused, or may be served again.
        return self._change_upstreams(now_ms)

    def _change_upstreams(self, now_ms: int) -> list[Decision]:
        """Apply the list of upstreams, what they stated since, and the evacuations."""
        decisions: list[Decision] = []
        down = self._upstream_list.apply(now_ms)
        states = list(self._states.values())
        decisions += self._retry_rules.replace_down(states, down, self._upstream_list.ids, now_ms)
        released, refused = self._groups.release_unusable()
        decisions += released
        for state in refused:
            decisions += self._refuse(state, RefusalReason.NO_UPSTREAM, MIN_RETRY_AFTER_MS)
        return decisions

    def _expire(self, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        for state in self._timers.past_deadline(now_ms):
            decisions += self._refuse(state, RefusalReason.DEADLINE, 0)
        for state in self._timers.past_start_deadline(now_ms):
            wait_ms = self._admission.queue_wait_ms(
                self._backlog.lane(state), state.req.neighbour, now_ms
            )
            retry_after_ms = self._admission.retry_after_ms(wait_ms)
            decisions += self._refuse(state, RefusalReason.DEADLINE, retry_after_ms)
        for state in self._timers.without_first_token(now_ms):
            state.first_token_due_ms = now_ms + SILENCE_RECHECK_MS
            self._timers.add_first_token(state)
            decisions.append(ConfirmSilence(state.req.request_id, state.upstream_id or ""))
        for state in self._timers.past_hedge_delay(now_ms):
            decisions.append(ConfirmDelay(state.req.request_id, state.upstream_id or ""))
        return decisions

    def _refuse(
        self, state: RequestState, reason: RefusalReason, retry_after_ms: int
    ) -> list[Decision]:
        refusal = Refuse(state.req.request_id, reason, state.run_state, retry_after_ms)
        return [*self._end(state), refusal]

    def _end(self, state: RequestState) -> list[Decision]:
        """Cancel the attempts in flight, if any, and remove the request."""
        decisions: list[Decision] = []
        if state.hedge is not None:
            decisions.append(CancelAttempt(state.req.request_id, state.hedge.upstream_id))
        if state.upstream_id is not None and not state.cancelling:
            decisions.append(CancelAttempt(state.req.request_id, state.upstream_id))
        return decisions + self._finish(state)

    def _finish(self, state: RequestState) -> list[Decision]:
        self._backlog.remove(state)
        self._claims.remove(state.req.request_id)
        self._groups.discard(state.req.request_id)
        self._attempts.clear(state)
        self._attempts.clear_hedge(state)
        del self._states[state.req.request_id]
        return self._reservations.release(state.req.request_id)


def _retry_budget_settings(config: FleetConfig) -> tuple[float, int, int]:
    cfg = config.scheduling
    return cfg.retry_budget, cfg.retry_floor, cfg.retry_slack
