"""Proxy for plain HTTP services: `/services/NAME/...`, any method."""

import hashlib
import itertools
import secrets
from collections.abc import Callable, Sequence

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.idempotency import (
    CallCompleted,
    CallDecision,
    CallNotSent,
    CallUnknown,
    Outcome,
    Refuse,
    Replay,
    Send,
    scoped_key,
)
from ibispaddle_core.membership import ListedState, ListEntry, MemberKind
from ibispaddle_core.routing import DataCentreRegions
from ibispaddle_core.runstate import RunState
from ibispaddle_core.settings import FleetConfig

from .callers import CallerDirectory, read_timeout_ms
from .events import (
    CallFailure,
    Headers,
    HttpCall,
    HttpCallError,
    claim_finished,
    claim_requested,
    find_header,
    http_call,
    http_cancel,
)
from .http_exchange import Exchange
from .logs import log_event
from .metrics import Metrics
from .responses import respond_error
from .service_call import ServiceCall, forwarded_request_headers, forwarded_response_headers
from .timers import TimerQueue
from .tracing import Tracing

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_ATTEMPTS = 3
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
# Retry-After time when no upstream, or no component that decides claims, is available.
RETRY_AFTER_MS = 1_000
# The HTTP call of a repeatable request times out this long after the request's deadline. The timer of
# the deadline ends the call first, so that the caller's error has the code `deadline`. Other calls get
# no margin, because they must not be sent after their deadline.
DEADLINE_MARGIN_MS = 250
# Time after the deadline in which the claims component can still state whether the call ran.
CLAIM_DECISION_GRACE_MS = 250
REPLAYED_HEADER: Headers = (("Idempotency-Replayed", "true"),)

# HTTP status by the reason of a refused claim. All other reasons give status 503, because a retry
# may succeed.
_STATUS_BY_CLAIM_REFUSAL = {
    "key_used_for_another_request": 422,
    "key_older_than_window": 409,
    "key_from_the_future": 400,
    "key_without_creation_time": 400,
    "outcome_unknown": 409,
    "recorded_body_unavailable": 409,
    "deadline_passed": 504,
}

_CALL_NUMBERS = itertools.count(1)


class ServiceProxy(BaseComponent):
    """Forward calls to services; calls that are not repeatable run at most once."""

    channel = "services"

    def __init__(
        self,
        instance_id: str,
        config: FleetConfig,
        clock: Clock,
        timers: TimerQueue,
        metrics: Metrics,
        tracing: Tracing,
        scheme: str = "http",
        is_recovering: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__()
        self._boot_id = f"{instance_id}-{secrets.token_hex(4)}"
        self._clock = clock
        self._timers = timers
        self._metrics = metrics
        self._tracing = tracing
        self._scheme = scheme
        self._set_config(config)
        self._service_entries: tuple[ListEntry, ...] = ()
        self._call_counts: dict[str, int] = {}
        self._calls: dict[str, ServiceCall] = {}
        self._calls_by_attempt_id: dict[str, ServiceCall] = {}
        self._is_recovering = is_recovering
        self._calls_awaiting_recovery: list[ServiceCall] = []

    @property
    def calls_in_flight(self) -> int:
        """Return the number of unfinished calls, including those whose caller has disconnected."""
        return len(self._calls)

    @property
    def latest_deadline_ms(self) -> int:
        """Return the latest deadline of a call in flight, or 0."""
        return max((call.deadline_ms for call in self._calls.values()), default=0)

    def _set_config(self, config: FleetConfig) -> None:
        self._config = config
        self._callers = CallerDirectory(config)
        self._regions = DataCentreRegions(config.region_by_data_centre)

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self._set_config(config)

    @handler("list_changed", channel="*")
    def _on_list_changed(self, entries: Sequence[ListEntry]) -> None:
        self._service_entries = tuple(
            entry for entry in entries if entry.kind is MemberKind.SERVICE
        )

    @handler("exchange_started")
    def _on_exchange_started(self, exchange: Exchange) -> None:
        error = self._start_call(exchange)
        if error is not None:
            self._metrics.requests.inc({"code": error.code})
            log_event(logevents.REQUEST_REFUSED, path=exchange.path, code=error.code)
            respond_error(exchange, error)

    def _start_call(self, exchange: Exchange) -> ProtocolError | None:
        identified = self._callers.identify(exchange)
        if identified.is_err():
            return identified.unwrap_err()
        caller = identified.unwrap()
        _, _, name, *_ = f"{exchange.path}/".split("/", 3)
        config = self._config.services.get(name)
        if config is None or name not in caller.workspace.services:
            text = f"The service '{name[:100]}' does not exist or is not available to this API key."
            return ProtocolError(404, "service_not_found", text)
        timeout = read_timeout_ms(exchange, config.request_timeout_ms)
        if timeout.is_err():
            return timeout.unwrap_err()
        key = exchange.header(IDEMPOTENCY_KEY_HEADER) or ""
        repeatable = exchange.method in config.repeatable_methods
        if not repeatable and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
            text = (
                f"The method '{exchange.method}' needs the header '{IDEMPOTENCY_KEY_HEADER}' with 1 to"
                f" {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters."
            )
            return ProtocolError(
                400, "idempotency_key_required", text, param=IDEMPOTENCY_KEY_HEADER
            )
        call_id = f"{self._boot_id}-s{next(_CALL_NUMBERS)}"
        span = self._tracing.start_request(f"{exchange.method} /services/{name}", exchange.headers)
        span.set_attribute("ibispaddle.request_id", call_id)
        span.set_attribute("ibispaddle.workspace", caller.name)
        call = ServiceCall(
            call_id=call_id,
            caller=caller,
            service=name,
            config=config,
            exchange=exchange,
            target=exchange.target.removeprefix(f"/services/{name}") or "/",
            deadline_ms=exchange.arrived_ms + timeout.unwrap(),
            key=key,
            span=span,
            data_centres=self._regions.data_centres(caller.workspace.regions, config.regions),
        )
        self._calls[call_id] = call
        exchange.on_closed = lambda: self._on_caller_disconnected(call)
        if call.is_repeatable:
            call.timer = self._timers.at(call.deadline_ms, lambda: self._end_at_deadline(call))
            self._start_attempt(call)
        else:
            call.timer = self._timers.at(
                call.deadline_ms, lambda: self._on_unrepeatable_deadline(call)
            )
            self._request_claim(call)
        return None

    # Idempotency claims

    def _request_claim(self, call: ServiceCall) -> None:
        """Ask the claims component whether the call may be sent."""
        scope = f"{call.exchange.method}\0{call.target}\0".encode("latin-1", "replace")
        request_hash = hashlib.blake2b(scope + call.exchange.body, digest_size=16).hexdigest()
        key = scoped_key(call.caller.name, call.service, call.key)
        event = claim_requested(call.call_id, key, request_hash, call.deadline_ms, self.channel)
        if not self.root.getHandlers(event, "*"):
            text = "This instance cannot check idempotency keys."
            self._fail(call, 503, "claims_unavailable", text, RETRY_AFTER_MS)
            return
        self.fire(event, "*")

    @handler("claim_decided")
    def _on_claim_decided(self, call_id: str, decision: CallDecision) -> None:
        call = self._calls.get(call_id)
        if call is None:
            if isinstance(decision, Send):
                # The call has already been refused and will not be sent.
                self.fire(claim_finished(call_id, CallNotSent()), "*")
            return
        match decision:
            case Send():
                call.is_claimed = True
                if self._clock.now_ms() >= call.deadline_ms:
                    self._end_at_deadline(call)
                else:
                    self._start_attempt(call)
            case Replay(outcome):
                headers: Headers = (("Content-Type", outcome.content_type),)
                body = outcome.body or b""
                self._respond(call, outcome.status or 200, headers + REPLAYED_HEADER, body)
            case Refuse(run_state, reason, retry_after_ms):
                status = _STATUS_BY_CLAIM_REFUSAL.get(reason, 503)
                text = f"The call cannot be sent with this idempotency key: {reason.replace('_', ' ')}."
                call.claim_run_state = run_state
                self._fail(call, status, reason, text, retry_after_ms or 0)

    def _finish_claim(self, call: ServiceCall, result: CallCompleted | None = None) -> None:
        """Report the outcome of a claimed call.

        Without a result the call counts as sent if an attempt may have run; otherwise the claim is
        released, and the key can be used again.
        """
        if call.is_claimed:
            call.is_claimed = False
            failure = CallUnknown() if call.unconfirmed_attempts else CallNotSent()
            self.fire(claim_finished(call.call_id, result or failure), "*")

    # Attempts

    def _select_upstream(self, call: ServiceCall) -> ListEntry | None:
        """Return the live upstream with the fewest calls, preferring those not tried yet."""
        live = [
            entry
            for entry in self._service_entries
            if entry.service == call.service
            and entry.state is ListedState.LIVE
            and (call.data_centres is None or entry.data_centre in call.data_centres)
        ]
        return min(
            live,
            key=lambda e: (
                e.id in call.tried_ids,
                self._call_counts.get(e.id, 0),
                secrets.randbits(16),
            ),
            default=None,
        )

    @handler("pause_ended", channel="*")
    def _on_pause_ended(self) -> None:
        """Start the attempts that waited while the instance recovered from a pause of the process."""
        waiting, self._calls_awaiting_recovery = self._calls_awaiting_recovery, []
        for call in waiting:
            if call.call_id in self._calls and self._clock.now_ms() < call.deadline_ms:
                self._start_attempt(call)

    def _start_attempt(self, call: ServiceCall) -> None:
        if self._is_recovering():
            # Starts when `pause_ended` reports the end of the recovery. The deadline timer ends the call
            # if that takes too long.
            self._calls_awaiting_recovery.append(call)
            return
        entry = self._select_upstream(call)
        if entry is None:
            text = f"No upstream of the service '{call.service}' is available."
            code = "no_upstream"
            if call.data_centres is not None:
                text = text[:-1] + " in the regions where the call may run."
                code = "no_upstream_in_home"
            self._fail(call, 503, code, text, RETRY_AFTER_MS)
            return
        call.attempts += 1
        call.tried_ids.add(entry.id)
        call.upstream_id = entry.id
        call.attempt_id = f"{call.call_id}.{call.attempts}"
        call.attempt_span = self._tracing.start_call(call.span, f"{call.exchange.method} service")
        call.attempt_span.set_attribute("ibispaddle.upstream", entry.id)
        self._call_counts[entry.id] = self._call_counts.get(entry.id, 0) + 1
        self._calls_by_attempt_id[call.attempt_id] = call
        headers = forwarded_request_headers(call.exchange.headers)
        headers += (("X-Request-Id", call.attempt_id),)
        headers += self._tracing.trace_headers(call.attempt_span)
        http = HttpCall(
            call.attempt_id,
            call.exchange.method,
            f"{self._scheme}://{entry.address}{call.target}",
            headers,
            call.exchange.body,
            call.deadline_ms + (DEADLINE_MARGIN_MS if call.is_repeatable else 0),
            self.channel,
            # The response of a plain service does not state to which request it belongs.
            may_reuse_connection=False,
        )
        self.fire(http_call(http), "http_client")

    @handler("call_completed")
    def _on_call_completed(
        self,
        attempt_id: str,
        status: int,
        headers: Headers,
        body: bytes,
        error: HttpCallError | None,
    ) -> None:
        call = self._calls_by_attempt_id.pop(attempt_id, None)
        if call is None:
            return
        self._call_counts[call.upstream_id] -= 1
        outcome = str(error.failure) if error else str(status)
        call.attempt_span.set_attribute("ibispaddle.outcome", outcome)
        call.attempt_span.end()
        if call.call_id not in self._calls:
            return
        call.attempt_id = ""
        if error is None:
            content_type = find_header(headers, "content-type") or ""
            self._finish_claim(call, CallCompleted(Outcome(status, content_type, body)))
            self._respond(call, status, headers, body)
            return
        log_event(
            logevents.ATTEMPT_FAILED,
            request=call.call_id,
            upstream=call.upstream_id,
            outcome=str(error.failure),
            reason=error.text,
        )
        call.unconfirmed_attempts += error.byte_sent  # A bool, which counts as 0 or 1.
        may_retry = call.is_repeatable or not error.byte_sent
        if error.failure is CallFailure.TIMEOUT:
            self._end_at_deadline(call)
        elif may_retry and call.attempts < MAX_ATTEMPTS:
            self._metrics.retries.inc({"reason": str(error.failure)})
            self._start_attempt(call)
        else:
            self._fail(
                call, 502, "upstream_failed", f"The call to the service '{call.service}' failed."
            )

    # End of a call

    def _respond(self, call: ServiceCall, status: int, headers: Headers, body: bytes) -> None:
        call.exchange.respond(
            status, (*forwarded_response_headers(headers), ("X-Request-Id", call.call_id)), body
        )
        self._finish(call, str(status))

    def _fail(
        self, call: ServiceCall, status: int, code: str, text: str, retry_after_ms: int = 0
    ) -> None:
        self._finish_claim(call)
        error = ProtocolError(status, code, text, call.run_state, retry_after_ms=retry_after_ms)
        log_event(
            logevents.REQUEST_REFUSED,
            request=call.call_id,
            code=code,
            run_state=str(error.run_state),
        )
        respond_error(call.exchange, error, (("X-Request-Id", call.call_id),))
        self._finish(call, code)

    def _end_at_deadline(self, call: ServiceCall) -> None:
        if call.call_id not in self._calls:
            return
        self._cancel_attempt(call)
        if not (call.is_repeatable or call.is_claimed):
            # Without a claim decision it is unknown whether an earlier call with this key ran.
            call.claim_run_state = RunState.UNKNOWN
        self._fail(call, 504, "deadline", "The call did not end within its allotted time.")

    def _on_unrepeatable_deadline(self, call: ServiceCall) -> None:
        """End a claimed call; give a call without a claim decision a grace period.

        The grace period starts now: after a pause of the process all deadlines are due at once, and
        the decision may not have arrived yet.
        """
        if call.is_claimed:
            self._end_at_deadline(call)
        else:
            call.timer = self._timers.after(
                CLAIM_DECISION_GRACE_MS, lambda: self._end_at_deadline(call)
            )

    def _on_caller_disconnected(self, call: ServiceCall) -> None:
        # A call that is not repeatable continues, so that a retry can get its recorded outcome.
        if call.is_repeatable:
            self._cancel_attempt(call)
            self._finish(call, "cancelled")

    def _cancel_attempt(self, call: ServiceCall) -> None:
        if call.attempt_id:
            call.unconfirmed_attempts += 1
            self.fire(http_cancel(call.attempt_id), "http_client")

    def _finish(self, call: ServiceCall, code: str) -> None:
        if self._calls.pop(call.call_id, None) is None:
            return
        if call.timer is not None:
            call.timer.cancel()
        call.exchange.on_closed = None
        now_ms = self._clock.now_ms()
        self._metrics.requests.inc({"code": code})
        call.span.set_attribute("ibispaddle.code", code)
        call.span.set_attribute("ibispaddle.attempts", call.attempts)
        call.span.end()
        log_event(
            logevents.REQUEST_ENDED,
            request=call.call_id,
            workspace=call.caller.name,
            service=call.service,
            code=code,
            attempts=call.attempts,
            duration_ms=now_ms - call.exchange.arrived_ms,
        )
