"""Admission of requests by route and key, execution of scheduling decisions, and responses."""

import random
import secrets
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.forwarding import (
    AttemptResult,
    DrainAdmission,
    MemoryBudget,
    ResponseHead,
)
from ibispaddle_core.membership import ListEntry
from ibispaddle_core.routing import (
    ConfigFreshness,
    DataCentreRegions,
    Route,
    RouteTable,
    RoutingConfig,
    check_homes,
    check_routes,
    choose_service,
)
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    AttemptEnded,
    CallerDisconnected,
    CancelAttempt,
    ConfigurationReplaced,
    ConfirmDelay,
    ConfirmListing,
    ConfirmSilence,
    Decision,
    DeclineHedge,
    Dispatch,
    Event,
    FirstToken,
    FleetAttempts,
    FleetPaces,
    FreeMemory,
    Outcome,
    PeerWork,
    RefusalReason,
    Refuse,
    RequestArrived,
    ReserveMemory,
    Scheduler,
    Tick,
    UpstreamsChanged,
)
from ibispaddle_core.scheduling.retry_rules import NOT_RUN_OUTCOMES
from ibispaddle_core.settings import FleetConfig

from ..contacts import UpstreamContacts
from ..engine_memory import EngineMemory, EngineMemoryCodec
from ..events import list_questioned
from ..http_client import HttpClient
from ..http_exchange import Exchange
from ..logs import log_event
from ..metrics import Metrics
from ..scheduling_loop import SchedulingLoop
from ..timers import TimerQueue
from .admission import build_request, has_home, may_admit
from .attempts import ForwardedAttempts
from .codec import CallerRequest, ForwardingCodec, UpstreamCall
from .cold_log import ColdLog
from .hand_over import HandOver
from .hedges import HedgeReports
from .late_attempts import LateAttempts
from .part_guard import PartGuard
from .refusals import CODE_OUTDATED, DEFAULT_RETRY_AFTER_MS, STATUS_NOT_RUN, refuse, reject, respond
from .request_log import log_failed, log_forwarded, record_end
from .requests import AttemptState, ForwardedRequest
from .startup import StartupExchanges
from .upstreams import ListedUpstreams, is_in_use, read_statement

# Short, since another instance can accept the request at once, on a new connection.
DRAINING_RETRY_AFTER_MS = 50


class Forwarder(BaseComponent):
    """Admit requests by route and key, execute the scheduler's decisions and respond to callers."""

    channel = "forwarder"

    def __init__(
        self,
        instance_id: str,
        client: HttpClient,
        codec: ForwardingCodec,
        memory_codec: EngineMemoryCodec,
        clock: Clock,
        timers: TimerQueue,
        metrics: Metrics,
        budget: MemoryBudget | None = None,
        data_centre: str = "",
        contacts: UpstreamContacts | None = None,
    ) -> None:
        super().__init__()
        budget = budget or MemoryBudget.from_memory()
        self._codec, self._clock, self._timers, self._metrics = codec, clock, timers, metrics
        self._boot_id = f"{instance_id}-{secrets.token_hex(4)}"
        self._request_number = 0
        seed = secrets.randbits(64)
        self._rng = random.Random(seed)
        self._config: RoutingConfig | None = None
        self.config_version: int | None = None
        self._table = RouteTable({})
        self._regions = DataCentreRegions({})
        self.freshness = ConfigFreshness()
        self.drain_admission: DrainAdmission | None = None
        offset_ms = clock.wall_ms() - clock.now_ms()
        self.scheduler = Scheduler.from_config(
            FleetConfig(), seed, self._boot_id, offset_ms, data_centre
        )
        self._hedge_reports = HedgeReports(self.scheduler, metrics, clock)
        self._cold_log = ColdLog(clock, self.scheduler.pacing.cold)
        self._loop = SchedulingLoop(self.scheduler, self._execute, clock, timers)
        self._requests: dict[str, ForwardedRequest] = {}
        self._startup_exchanges = StartupExchanges(timers, self._route_exchange)
        self._has_upstreams = False
        self._upstreams = ListedUpstreams()
        # Called when the work in flight has changed, with whether work was added.
        self.on_work_changed: Callable[[bool], None] = lambda is_added: None
        # Called before an upstream of a service is selected. Fetches the other instances' work in flight
        # and then calls its first argument.
        self.before_selection: Callable[[Callable[[], None], str], None] = (
            lambda callback, service: callback()
        )
        self._memory = EngineMemory(clock, timers, memory_codec, contacts).register(self)
        self._memory.add_to(metrics, self.scheduler)
        self.part_guard = PartGuard(codec, clock, timers, contacts).register(self)
        self.part_guard.on_quarantined = self._refuse_quarantined_requests
        self._late_attempts = LateAttempts(
            lambda callback, service: self.before_selection(callback, service),
            self.handle_event,
            self.part_guard,
            self._hedge_reports,
            lambda: self.drain_admission is not None,
        )
        self.hand_over = HandOver(
            clock,
            timers,
            self.handle_event,
            lambda: [r for r in self._requests.values() if not r.in_flight],
            partial(self._end_request, reason=RefusalReason.NO_UPSTREAM),
        )
        self.attempts = ForwardedAttempts(
            client,
            codec,
            clock,
            timers,
            self._on_head,
            self._on_race,
            self._on_output,
            partial(self._on_silence, has_output=True),
            self._on_attempt_result,
            budget.incomplete_responses,
            contacts,
        ).register(self)

    @property
    def incomplete_response_bytes(self) -> int:
        """Return the size of the responses and events that are not complete."""
        return self.attempts.buffered_bytes

    @property
    def requests_in_flight(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._requests)

    def handle_event(self, event: Event) -> None:
        """Pass an event to the scheduler and execute its decisions."""
        self._loop.handle_event(event)

    # Fleet and configuration

    def replace_config(self, config: RoutingConfig, fleet: FleetConfig) -> None:
        """Apply a version of the routing configuration and of the scheduler's configuration."""
        self._config, self.config_version = config, config.version
        self._table = RouteTable.from_config(config)
        self._regions = DataCentreRegions(fleet.region_by_data_centre)
        self.attempts.max_unsent_bytes = config.limits.max_unsent_bytes
        self.attempts.stall_timeout_ms = fleet.scheduling.stall_timeout_ms
        self.handle_event(ConfigurationReplaced(fleet))
        for message in (*check_routes(config), *check_homes(config, self._regions)):
            log_event(logevents.CONFIG_WARNING, id=message.id, path=message.path, text=message.text)
        self._route_startup_exchanges()

    @handler("list_changed", channel="*")
    def _on_list_changed(self, entries: Sequence[ListEntry]) -> None:
        self.handle_event(UpstreamsChanged(self._upstreams.replace(entries)))
        self._has_upstreams = True
        self._route_startup_exchanges()

    def listed_data_centres(self) -> set[str]:
        """Return the data centres of the listed upstreams."""
        return self._upstreams.data_centres()

    def update_fleet_work(self, work: PeerWork, attempts: FleetAttempts, paces: FleetPaces) -> None:
        """Update the work in flight, the attempts and the paces of all other instances."""
        self.handle_event(attempts)
        self.update_paces(paces)
        self.handle_event(work)

    def update_paces(self, paces: FleetPaces) -> None:
        """Update the paces of all other instances."""
        self.handle_event(paces)
        self._cold_log.write()

    @property
    def has_waiting_requests(self) -> bool:
        """Return whether requests known to the scheduler are waiting for an upstream."""
        return self.scheduler.is_waiting

    def schedule_waiting(self) -> None:
        """Select upstreams for waiting requests, as far as capacity is available."""
        self.scheduler.try_waiting_at_next_event()
        self.handle_event(Tick())

    # Admission

    @handler("exchange_started")
    def _on_exchange_started(self, exchange: Exchange) -> None:
        if self._config is not None and self._has_upstreams:
            self._route_exchange(exchange)
            return
        self._startup_exchanges.add(exchange)

    def _route_startup_exchanges(self) -> None:
        """Route the exchanges that arrived early, once configuration and upstreams are known."""
        if self._config is not None and self._has_upstreams:
            self._startup_exchanges.release()

    def _route_exchange(self, exchange: Exchange) -> None:
        caller = self._codec.read_request(exchange.headers)
        now_ms = self._clock.now_ms()
        config = self._config
        if config is None:
            self._reject(exchange, caller, STATUS_NOT_RUN, "no_configuration")
            return
        route = self._table.match(caller.host, exchange.path)
        # Whether the configuration is recent enough to report a route or key as unknown.
        can_deny = self.freshness.can_deny(now_ms)
        if route is None:
            self._reject(exchange, caller, 404 if can_deny else STATUS_NOT_RUN, "unknown_route")
            return
        workspace = ""
        if config.has_keys and not route.public:
            key_workspace = config.workspaces.get(caller.key)
            if key_workspace is None:
                self._reject(exchange, caller, 401 if can_deny else STATUS_NOT_RUN, "unknown_key")
                return
            if not self.freshness.can_trust_keys(now_ms):
                self._reject(exchange, caller, STATUS_NOT_RUN, CODE_OUTDATED)
                return
            workspace = key_workspace
        self._admit(exchange, caller, route, workspace)

    def _admit(
        self, exchange: Exchange, caller: CallerRequest, route: Route, workspace: str
    ) -> None:
        self._request_number += 1
        request_id = f"{self._boot_id}-{self._request_number}"
        service = choose_service(route, self._rng)
        home = self._home(route, caller.key)
        req = build_request(request_id, exchange, caller, route, workspace, service, home)
        if not has_home(self.scheduler, req):
            code = str(RefusalReason.NO_UPSTREAM_IN_HOME)
            self._reject(exchange, caller, STATUS_NOT_RUN, code)
            return
        if not may_admit(self.scheduler, self.drain_admission, req, self._clock.now_ms()):
            code = str(RefusalReason.DRAINING)
            self._reject(exchange, caller, STATUS_NOT_RUN, code, DRAINING_RETRY_AFTER_MS)
            return
        request = ForwardedRequest(req, route, caller, exchange)
        blocked_ms = self.part_guard.blocked_ms(request)
        if blocked_ms:
            code = str(RefusalReason.QUARANTINED)
            self._reject(exchange, caller, STATUS_NOT_RUN, code, blocked_ms)
            return
        request.last_event_id = caller.last_event_id
        self._requests[req.request_id] = request
        exchange.on_closed = lambda: self._on_caller_disconnected(request)
        exchange.on_drained = lambda: self.attempts.resume_reading(request)
        request.deadline_timer = self._timers.at(
            req.deadline_ms, lambda: self._on_deadline(request)
        )
        if not self.hand_over.take(request):
            self.before_selection(lambda: self._schedule(request), req.model)

    def _schedule(self, request: ForwardedRequest) -> None:
        if request.request_id not in self._requests or request.in_flight or request.is_scheduled:
            return  # It has ended, or it was delegated meanwhile.
        if not self._refuse_if_quarantined(request) and not self.hand_over.take(request):
            request.is_scheduled = True
            self.handle_event(RequestArrived(request.req))

    def _home(self, route: Route, key: str) -> frozenset[str] | None:
        """Return the data centres in which a request may run, or None for all.

        The home of the key's workspace also holds on public routes.
        """
        assert self._config is not None
        workspace = self._config.workspaces.get(key, "")
        return self._regions.data_centres(route.regions, self._config.homes.get(workspace))

    def end_requests(self) -> None:
        """Respond to all requests, because the process is about to end.

        Those that no upstream has received are refused as not run; streams are cut.
        """
        # Those that wait come first, so that none of them is sent when others make room.
        for request in sorted(self._requests.values(), key=lambda request: request.attempts > 0):
            if request.request_id in self._requests:
                self._end_request(request, RefusalReason.DRAINING)

    def _end_request(
        self, request: ForwardedRequest, reason: RefusalReason, retry_after_ms: int = 0
    ) -> None:
        """Remove a request from the scheduler and refuse it."""
        refusal = Refuse(request.request_id, reason, request.run_state, retry_after_ms)
        self.handle_event(CallerDisconnected(request.request_id))
        self._refuse(request, refusal)

    def _reject(
        self,
        exchange: Exchange,
        caller: CallerRequest,
        status: int,
        code: str,
        retry_after_ms: int = DEFAULT_RETRY_AFTER_MS,
    ) -> None:
        """Respond to a request that is not admitted."""
        self._metrics.requests.inc({"code": code})
        version = self._config.version if self._config is not None else None
        age_ms = self.freshness.age_ms(self._clock.now_ms())
        reject(exchange, caller, self._codec, status, code, retry_after_ms, version, age_ms)

    def _on_caller_disconnected(self, request: ForwardedRequest) -> None:
        if request.request_id in self._requests:
            self._finish(request, request.exchange.close_reason or "cancelled")
            self.handle_event(CallerDisconnected(request.request_id))
            self.on_work_changed(False)

    def _on_deadline(self, request: ForwardedRequest) -> None:
        """End a request at its deadline.

        The scheduler does not know the request yet while the other instances' work is being fetched.
        """
        self.handle_event(Tick())
        if request.request_id in self._requests:
            self._end_request(request, RefusalReason.DEADLINE)

    # Delegation

    def complete_delegated(self, request: ForwardedRequest, result: AttemptResult) -> None:
        """Respond to a request with the delegate's response."""
        respond(request.exchange, result.answer)
        self._finish(request, "ok", request.exchange.status)

    def schedule_again(self, request: ForwardedRequest) -> None:
        """Offer a request to delegates again, or let it wait for the own upstreams."""
        request.req = replace(request.req, max_runs=max(1, request.route.max_runs - request.runs))
        self.before_selection(lambda: self._schedule(request), request.req.model)

    def end_delegated(self, request: ForwardedRequest, run_state: RunState) -> None:
        """Refuse a request, or cut its response."""
        reason = RefusalReason.UPSTREAM_FAILED
        self._refuse(request, Refuse(request.request_id, reason, run_state, 0))

    # Quarantine

    def _refuse_if_quarantined(self, request: ForwardedRequest) -> bool:
        """Refuse a request without output that has a part in quarantine; return whether it has one."""
        blocked_ms = self.part_guard.blocked_ms(request)
        if not blocked_ms or request.is_response_started:
            return False
        request.cancel_attempts()
        self._end_request(request, RefusalReason.QUARANTINED, blocked_ms)
        return True

    def _refuse_quarantined_requests(self) -> None:
        for request in list(self._requests.values()):
            if request.request_id in self._requests:
                self._refuse_if_quarantined(request)
        self.on_work_changed(False)

    # Decisions

    def _execute(self, decision: Decision) -> None:
        match decision:
            case FreeMemory(upstream_id):
                self._memory.free(self._upstreams.base_url(upstream_id), decision)
                return
            case ReserveMemory(_, upstream_id):
                self._memory.reserve(
                    self._upstreams.base_url(upstream_id), decision, self.handle_event
                )
                self.on_work_changed(True)
                return
            case ConfirmListing():
                self.fire(list_questioned(), "*")
                return
        request = self._requests.get(decision.request_id)
        if request is None:
            return
        match decision:
            case Dispatch():
                self._start_attempt(request, decision)
            case CancelAttempt():
                self._cancel(request, decision)
            case ConfirmSilence(_, upstream_id):
                if (attempt := request.in_flight.get(upstream_id)) is not None:
                    self._on_silence(request, attempt, has_output=False)
            case ConfirmDelay(_, upstream_id):
                if (attempt := request.in_flight.get(upstream_id)) is not None:
                    self._late_attempts.report_delay(request, attempt)
            case DeclineHedge(_, upstream_id, limit):
                self._hedge_reports.record_decline(request, upstream_id, limit)
            case Refuse():
                self._refuse(request, decision)

    def _start_attempt(self, request: ForwardedRequest, decision: Dispatch) -> None:
        now_ms = self._clock.now_ms()
        request.attempts += 1
        request.upstream_id = decision.upstream_id
        attempt = AttemptState(decision.upstream_id, request.attempts, decision.is_hedge)
        has_failed = self.scheduler.health.has_failed_recently(decision.upstream_id, now_ms)
        boot_ms = self._upstreams.boot_ms(decision.upstream_id)
        self.part_guard.begin_attempt(attempt, boot_ms, has_failed)
        call = UpstreamCall(
            attempt_id=request.caller.attempt_id,
            upstream_id=decision.upstream_id,
            workspace=request.req.workspace,
            time_left_ms=max(1, request.req.deadline_ms - now_ms),
            priority=decision.priority,
            last_event_id=request.last_event_id,
            helpers=self._upstreams.helpers(decision),
        )
        log_forwarded(request, decision, call, now_ms)
        if decision.is_hedge:
            self._hedge_reports.record_start(request, attempt, now_ms)
        address = self._upstreams.address(decision.upstream_id)
        headers = self._codec.upstream_headers(request.exchange.headers, call)
        self.attempts.start(request, attempt, address, headers)
        self.on_work_changed(True)

    def _cancel(self, request: ForwardedRequest, decision: CancelAttempt) -> None:
        """Cancel an attempt in flight, as decided by the scheduler, and report its end.

        Reasons are, for example, a silent attempt or an upstream that is down.
        """
        attempt = request.in_flight.get(decision.upstream_id)
        if attempt is None or attempt.cancel is None:
            return
        attempt.cancel()
        idle_ms = self._clock.now_ms() - attempt.last_event_ms
        text = f"no event for {idle_ms} ms" if decision.is_silent else "cancelled by the scheduler"
        # The upstream also counts as stalled if it has not started to respond.
        is_stalled = decision.is_silent or not request.is_response_started
        outcome = Outcome.STALLED if is_stalled else Outcome.CANCELLED
        self._on_attempt_result(request, attempt, AttemptResult(outcome, text))

    def _refuse(self, request: ForwardedRequest, refusal: Refuse) -> None:
        """Respond to a request that gets no further attempt."""
        if request.runs:  # The scheduler doesn't know what became of hops.
            refusal = replace(refusal, run_state=RunState.UNKNOWN)
        request.cancel_attempts()
        status = refuse(request, refusal, self._codec, self._clock)
        self._finish(request, str(refusal.reason), status)

    # Callbacks of the attempts

    def _on_head(self, attempt: AttemptState, head: ResponseHead) -> None:
        """Apply what an upstream states about itself in the head of any response."""
        upstream_id = head.upstream_id if attempt.is_hop else attempt.upstream_id
        if not upstream_id:
            return  # The delegate itself has made the response.
        statement = read_statement(self.scheduler, upstream_id, head)
        if statement is not None:
            self.handle_event(statement)

    def _on_race(
        self, request: ForwardedRequest, winner: AttemptState, loser: AttemptState
    ) -> None:
        """Handle the first output of one of two attempts; the other one has been cancelled."""
        request.upstream_id = winner.upstream_id
        self._metrics.attempts.inc({"outcome": str(Outcome.CANCELLED)})
        self._hedge_reports.record_race(request, winner, loser)
        if request.route.streams:
            self.handle_event(FirstToken(request.request_id, winner.upstream_id))
            self.on_work_changed(False)

    def _on_output(
        self, request: ForwardedRequest, attempt: AttemptState, event_count: int
    ) -> None:
        now_ms = self._clock.now_ms()
        request.record_output(now_ms, event_count)
        if attempt.is_hop:
            return
        self.part_guard.record_output(request, attempt)
        # The request's counters do not show the first output of a retry, so every output of a retry is
        # reported. Repeated reports have no effect on the scheduler.
        if request.event_count == event_count or request.attempts > 1:
            self.handle_event(FirstToken(request.request_id, attempt.upstream_id))
            self.on_work_changed(False)

    def _on_silence(
        self, request: ForwardedRequest, attempt: AttemptState, has_output: bool
    ) -> None:
        """Handle a silent attempt; a delegate replaces its own silent attempts."""
        if not attempt.is_hop and not self.hand_over.take_silent(request, attempt):
            self._late_attempts.report_silence(request, attempt, has_output)

    def _on_attempt_result(
        self, request: ForwardedRequest, attempt: AttemptState, result: AttemptResult
    ) -> None:
        upstream_id = attempt.upstream_id
        if attempt.is_hop:
            self.hand_over.handle_result(request, attempt, result)
            return
        self._metrics.attempts.inc({"outcome": str(result.outcome)})
        if result.outcome is Outcome.COMPLETED:
            self._complete(request, attempt, result)
            return
        request.runs += result.outcome not in NOT_RUN_OUTCOMES
        request.failures += (f"{upstream_id}: {result.outcome}: {result.text}",)
        request.failed_response = result.answer
        faulty_upstream_id = self._upstreams.upstream_at(result.faulty_address)
        log_failed(request, attempt, result, faulty_upstream_id)
        if self.hand_over.take(request):
            return
        ended = AttemptEnded(
            request.request_id,
            upstream_id,
            result.outcome,
            has_relayed_output=request.is_response_started,
            faulty_upstream_id=faulty_upstream_id,
        )

        def proceed() -> None:
            # A retry counts against the retry budget of the whole fleet and selects an upstream, so
            # the other instances' counts and work are fetched first.
            self.before_selection(
                lambda: self._handle_failed_attempt(request, ended), request.req.model
            )

        self.part_guard.check_failed_attempt(
            request,
            attempt,
            result,
            self._upstreams.address(upstream_id),
            lambda: is_in_use(self.scheduler, upstream_id),
            proceed,
        )

    def _handle_failed_attempt(self, request: ForwardedRequest, ended: AttemptEnded) -> None:
        if request.request_id in self._requests and (
            not request.is_scheduled  # It was delegated meanwhile.
            or self._refuse_if_quarantined(request)
            or self.hand_over.take(request)
        ):
            return
        self.handle_event(ended)
        self.on_work_changed(False)

    def _complete(
        self, request: ForwardedRequest, attempt: AttemptState, result: AttemptResult
    ) -> None:
        response, exchange = result.answer, request.exchange
        if response is None or 200 <= response.status < 300:
            self.part_guard.record_completion(request, attempt)
        respond(exchange, response)
        self._finish(request, "ok", exchange.status)
        self.handle_event(AttemptEnded(request.request_id, attempt.upstream_id, result.outcome))
        self.on_work_changed(False)

    def _finish(self, request: ForwardedRequest, code: str, status: int = 0) -> None:
        """Remove a request whose caller got a response or disconnected, and log its end."""
        if self._requests.pop(request.request_id, None) is None:
            return
        request.is_ended = True
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        request.cancel_attempts()
        request.exchange.on_closed = request.exchange.on_drained = None
        self.attempts.forget(request)
        record_end(self._metrics, request, code, status, self._clock.now_ms())
