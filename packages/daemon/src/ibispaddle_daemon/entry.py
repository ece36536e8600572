"""Coordination of model requests between callers, the scheduler and the relay."""

import secrets
from collections.abc import Collection, Iterator, Sequence

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.chat import ProtocolError, refusal_error
from ibispaddle_core.clock import Clock
from ibispaddle_core.forwarding import MemoryBudget
from ibispaddle_core.membership import ListedState, ListEntry, MemberKind
from ibispaddle_core.routing import DataCentreRegions
from ibispaddle_core.scheduling import (
    AttemptEnded,
    CallerDisconnected,
    CancelAttempt,
    ConfigurationReplaced,
    ConfirmSilence,
    Decision,
    Dispatch,
    Event,
    FirstToken,
    FreeMemory,
    LoadReported,
    Outcome,
    RefusalReason,
    Refuse,
    Request,
    RequestArrived,
    ReserveMemory,
    RunnerLoad,
    Scheduler,
    Tick,
    TokensRelayed,
    Upstream,
    UpstreamsChanged,
    UpstreamState,
)
from ibispaddle_core.settings import FleetConfig, WorkspaceConfig

from .attempts import AttemptExecutor
from .engine_memory import EngineMemory
from .events import usage_counted
from .http_client import HttpClient
from .logs import log_event
from .metrics import Metrics, escape_label, prompt_length_class
from .model_request import ModelRequest
from .request_reader import ValidatedRequest
from .scheduling_loop import SchedulingLoop
from .suspects import SuspectTracker
from .timers import TimerQueue
from .tracing import Tracing

# Tokens are reported to the scheduler in batches, because each report triggers a scheduling pass.
TOKENS_PER_REPORT = 32


class RequestCoordinator(BaseComponent):
    """Admit requests, execute the scheduler's decisions and respond to the callers."""

    channel = "entry"

    def __init__(
        self,
        instance_id: str,
        config: FleetConfig,
        client: HttpClient,
        clock: Clock,
        timers: TimerQueue,
        metrics: Metrics,
        tracing: Tracing,
        suspects: SuspectTracker,
        runner_scheme: str = "http",
        budget: MemoryBudget | None = None,
    ) -> None:
        super().__init__()
        self._suspects, self._runner_scheme = suspects, runner_scheme
        self._runner_boot_ids: dict[str, str] = {}
        self._clock = clock
        self._timers = timers
        self._metrics = metrics
        self._tracing = tracing
        self._boot_id = f"{instance_id}-{secrets.token_hex(4)}"
        self._request_count = 0
        self._config = config
        self._regions = DataCentreRegions(config.region_by_data_centre)
        offset_ms = clock.wall_ms() - clock.now_ms()
        seed = secrets.randbits(64)
        self.scheduler = Scheduler.from_config(config, seed, self._boot_id, offset_ms)
        self._scheduling_loop = SchedulingLoop(
            self.scheduler, self._execute_decision, clock, timers
        )
        self._requests: dict[str, ModelRequest] = {}
        self._runner_addresses: dict[str, str] = {}
        self._runner_entries: tuple[ListEntry, ...] = ()
        self._down_runners: set[str] = set()
        self._engine_memory = EngineMemory(clock, timers).register(self)
        self._engine_memory.add_to(metrics, self.scheduler)
        self.attempts = AttemptExecutor(
            self,
            client,
            clock,
            timers,
            metrics,
            tracing,
            suspects,
            (budget or MemoryBudget.from_memory()).incomplete_responses,
        ).register(self)
        self.scheduler.allowed_runners = self._allowed_runners
        metrics.add_gauge(
            "ibispaddle_requests_in_flight", "Requests in flight.", lambda: len(self._requests)
        )

    @property
    def config(self) -> FleetConfig:
        """Return the current configuration."""
        return self._config

    @property
    def requests_in_flight(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._requests)

    def waiting_requests(self) -> Iterator[Request]:
        """Return the requests without an attempt in progress, in order of arrival."""
        return (r.req for r in self._requests.values() if r.attempt is None)

    @property
    def latest_deadline_ms(self) -> int:
        """Return the latest deadline of a request in flight, or 0."""
        return max((r.req.deadline_ms for r in self._requests.values()), default=0)

    def last_boot_id(self, upstream_id: str) -> str:
        """Return the last known boot id of a runner, or an empty string."""
        return self._runner_boot_ids.get(upstream_id, "")

    def _allowed_runners(self, req: Request) -> Collection[str] | None:
        if not self._suspects.is_suspect(req.fingerprint):
            return None
        ids = [view.upstream.upstream_id for view in self.scheduler.runners.live(req.model)]
        return self._suspects.allowed_upstreams(req.fingerprint, ids, self.attempts.fingerprints())

    def base_url(self, upstream_id: str) -> str:
        """Return the base URL of a runner."""
        return f"{self._runner_scheme}://{self._runner_addresses.get(upstream_id, '')}"

    # Fleet and configuration

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self._config = config
        self._regions = DataCentreRegions(config.region_by_data_centre)
        self.handle_event(ConfigurationReplaced(config))

    @handler("list_changed", channel="*")
    def _on_list_changed(self, entries: Sequence[ListEntry]) -> None:
        self._runner_entries = tuple(entry for entry in entries if entry.kind is MemberKind.RUNNER)
        self._runner_addresses |= {entry.id: entry.address for entry in self._runner_entries}
        self._down_runners &= {entry.id for entry in self._runner_entries}
        self._update_upstreams()

    @handler("load_reported", channel="*")
    def _on_load_reported(self, load: RunnerLoad) -> None:
        if self._suspects.has_boot_ended(load.upstream_id, load.boot_id):
            return  # A late report from a boot that is known to have ended.
        self._runner_boot_ids[load.upstream_id] = load.boot_id
        if load.upstream_id in self._down_runners:
            self._down_runners.discard(load.upstream_id)
            self._update_upstreams()
        self.handle_event(LoadReported(load))

    @handler("runner_failed", channel="*")
    def _on_runner_failed(self, upstream_id: str) -> None:
        if upstream_id not in self._down_runners:
            self._down_runners.add(upstream_id)
            self._update_upstreams()

    @handler("runner_boot_ended", channel="*")
    def _on_runner_boot_ended(self, upstream_id: str, boot_id: str) -> None:
        if self.last_boot_id(upstream_id) in (
            "",
            boot_id,
            self._suspects.reported_boot_id(boot_id),
        ):
            self._on_runner_failed(upstream_id)

    def _update_upstreams(self) -> None:
        def state(entry: ListEntry) -> UpstreamState:
            if entry.id in self._down_runners:
                return UpstreamState.DOWN
            leaving = entry.state is ListedState.LEAVING
            return UpstreamState.LEAVING if leaving else UpstreamState.LIVE

        upstreams = tuple(
            Upstream(entry.id, entry.data_centre, tuple(entry.models), state(entry))
            for entry in self._runner_entries
        )
        self.handle_event(UpstreamsChanged(upstreams))

    # Requests

    def admit(self, read: ValidatedRequest) -> None:
        """Register a request and pass it to the scheduler."""
        self._request_count += 1
        exchange, caller, parsed = read.exchange, read.caller, read.parsed
        req = Request(
            request_id=f"{self._boot_id}-{self._request_count}",
            workspace=caller.name,
            neighbour=caller.neighbour,
            model=parsed.model,
            prompt_tokens=parsed.prompt_tokens,
            max_output_tokens=read.output_tokens,
            arrived_ms=exchange.arrived_ms,
            deadline_ms=exchange.arrived_ms + read.timeout_ms,
            fingerprint=read.fingerprint,
            parts=read.parts,
            prefix_hashes=parsed.prefix_hashes,
            streams=parsed.stream,
            data_centres=self._home(caller.workspace, parsed.model),
        )
        span = self._tracing.start_request(f"POST {exchange.path}", exchange.headers)
        span.set_attribute("ibispaddle.request_id", req.request_id)
        span.set_attribute("ibispaddle.workspace", caller.name)
        request = ModelRequest(req, parsed, caller, exchange, span, exchange.body)
        self._requests[req.request_id] = request
        exchange.on_closed = lambda: self._on_caller_disconnected(request)
        exchange.on_drained = lambda: self.attempts.resume_reading(request)
        request.timers.append(self._timers.at(req.deadline_ms, lambda: self._on_deadline(request)))
        self.handle_event(RequestArrived(req))

    def _home(self, workspace: WorkspaceConfig, model: str) -> frozenset[str] | None:
        """Return the data centres in which a request may run, or None for all."""
        return self._regions.data_centres(workspace.regions, self._config.models[model].regions)

    def _on_caller_disconnected(self, request: ModelRequest) -> None:
        if request.request_id in self._requests:
            self.handle_event(CallerDisconnected(request.request_id))
            self.finish(request, request.exchange.close_reason or "cancelled")

    def _on_deadline(self, request: ModelRequest) -> None:
        """End a request at its deadline, even if the scheduler no longer tracks it."""
        self.handle_event(Tick())
        if request.request_id in self._requests:
            # The caller is still connected; the event makes the scheduler remove the request.
            self.handle_event(CallerDisconnected(request.request_id))
            self._refuse(request, refusal_error(RefusalReason.DEADLINE, request.run_state))

    def finish(self, request: ModelRequest, code: str) -> None:
        """Remove a request whose caller was answered or disconnected, and record its metrics."""
        if self._requests.pop(request.request_id, None) is None:
            return
        for timer in request.timers:
            timer.cancel()
        request.exchange.on_closed = request.exchange.on_drained = None
        now_ms = self._clock.now_ms()
        self._metrics.requests.inc({"code": code})
        self._metrics.duration.observe({}, (now_ms - request.req.arrived_ms) / 1000)
        if request.first_token_ms is not None:
            ttft_ms = request.first_token_ms - request.req.arrived_ms
            labels = {"prompt": prompt_length_class(request.req.prompt_tokens)}
            self._metrics.first_token.observe(labels, ttft_ms / 1000)
            idle_ttft_ms = max(1.0, self.scheduler.cost.idle_ttft_ms(request.req))
            self._metrics.slowdown.observe(labels, ttft_ms / idle_ttft_ms)
        self._metrics.tokens.add({"workspace": escape_label(request.req.workspace)}, request.tokens)
        request.span.set_attribute("ibispaddle.code", code)
        request.span.set_attribute("ibispaddle.tokens", request.tokens)
        request.span.set_attribute("ibispaddle.attempts", request.attempts)
        request.span.end()
        log_event(
            logevents.REQUEST_ENDED,
            request=request.request_id,
            workspace=request.req.workspace,
            model=request.req.model,
            code=code,
            tokens=request.tokens,
            attempts=request.attempts,
            duration_ms=now_ms - request.req.arrived_ms,
        )
        if request.tokens or code == "ok":
            self._count_usage(request)

    def _count_usage(self, request: ModelRequest) -> None:
        req, cost = request.req, self.scheduler.cost
        prompt_tokens = request.prompt_tokens or req.prompt_tokens
        prefill_ms = cost.prefill_engine_ms(req.model, prompt_tokens)
        engine_ms = prefill_ms + cost.decode_engine_ms(req.model, request.tokens)
        self.fire(
            usage_counted(req.workspace, req.neighbour, prompt_tokens, request.tokens, engine_ms),
            "*",
        )

    def _refuse(self, request: ModelRequest, error: ProtocolError) -> None:
        self.attempts.abort(request)
        log_event(
            logevents.REQUEST_REFUSED,
            request=request.request_id,
            code=error.code,
            run_state=str(error.run_state),
        )
        request.send_error(error)
        self.finish(request, error.code)

    # Scheduler events and decisions

    def handle_event(self, event: Event) -> None:
        """Pass an event to the scheduler and execute its decisions."""
        self._scheduling_loop.handle_event(event)

    def _execute_decision(self, decision: Decision) -> None:
        match decision:
            case FreeMemory(upstream_id):
                self._engine_memory.free(self.base_url(upstream_id), decision)
                return
            case ReserveMemory(_, upstream_id):
                self._engine_memory.reserve(self.base_url(upstream_id), decision, self.handle_event)
                return
        request = self._requests.get(decision.request_id)
        if request is None:
            return
        match decision:
            case Dispatch():
                self.attempts.start(request, decision)
            case CancelAttempt(_, _, is_silent):
                self.attempts.cancel(request, is_silent)
            case ConfirmSilence():
                self.attempts.report_silence(request)
            case Refuse(_, reason, _, retry_after_ms):
                self._refuse(request, refusal_error(reason, request.run_state, retry_after_ms))

    # Callbacks of the attempts

    def count_tokens(self, request: ModelRequest, tokens: int) -> None:
        """Count relayed tokens; a call of `report_tokens` must follow."""
        if tokens and request.first_token_ms is None:
            request.first_token_ms = self._clock.now_ms()
        request.tokens += tokens
        request.unreported_tokens += tokens

    def report_tokens(self, request: ModelRequest, at_least: int = TOKENS_PER_REPORT) -> None:
        """Report counted tokens to the scheduler; the first token is reported immediately.

        The scheduler refuses the request if its deadline has passed. A complete response is
        therefore ended before its tokens are reported.
        """
        if request.first_token_ms is not None and not request.is_first_token_reported:
            request.is_first_token_reported = True
            self.handle_event(FirstToken(request.request_id))
        if request.unreported_tokens >= at_least:
            tokens, request.unreported_tokens = request.unreported_tokens, 0
            self.handle_event(TokensRelayed(request.request_id, tokens))

    def report_attempt_end(self, request: ModelRequest, upstream_id: str, outcome: Outcome) -> None:
        """Report the end of an attempt to the scheduler, which may retry or refuse the request."""
        self.report_tokens(request, at_least=1)
        request.last_outcome = str(outcome)
        if outcome is Outcome.COMPLETED:
            self._suspects.clear_suspect(request.req.fingerprint, request.req.parts)
        refusal = self._suspects.quarantine_error(
            request.req.fingerprint, request.req.parts, request.run_state
        )
        if refusal is not None and request.request_id in self._requests:
            self.handle_event(CallerDisconnected(request.request_id))
            self._refuse(request, refusal)
            return
        self.handle_event(
            AttemptEnded(
                request.request_id,
                upstream_id,
                outcome,
                has_relayed_output=request.has_relayed_output,
            )
        )
