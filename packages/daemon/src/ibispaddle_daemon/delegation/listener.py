"""The listener for requests that other instances delegate to this one."""

from socket import socket

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.delegation import DelegateAdmission, DelegateVerdict, may_ask_another
from ibispaddle_core.runstate import RunState
from ibispaddle_core.settings import LimitSettings

from ..delegated_call import answer_headers, read_call, without_hop_headers
from ..events import exchange_started
from ..forwarding import ForwardingCodec
from ..forwarding.refusals import STATUS_NOT_RUN, error_body
from ..http_exchange import Exchange
from ..http_server import HttpServer
from ..logs import log_event
from ..responses import JSON
from ..timers import TimerQueue


class _DelegateServer(HttpServer):
    """An HTTP server whose own responses state what the sender may do."""

    def request_refused(self, exchange: Exchange, status: int, code: str, text: str) -> None:
        """Respond to a request that is malformed or exceeds a limit."""
        _refuse(exchange, status, code, may_ask_another(code, RunState.NOT_RUN))


class DelegateListener(BaseComponent):
    """Take the requests of instances that reach no upstream, and pass them to the forwarder.

    There they are handled like those of callers, but are never delegated again. The memory for requests
    and unread responses is shared with the server for callers.
    """

    channel = "delegate_listener"

    def __init__(
        self,
        bind: str | socket,
        codec: ForwardingCodec,
        clock: Clock,
        timers: TimerQueue,
        limits: LimitSettings,
        callers: HttpServer,
        forwarder_channel: str,
    ) -> None:
        super().__init__()
        self._codec, self._forwarder_channel = codec, forwarder_channel
        self.admission = DelegateAdmission()
        self.server = _DelegateServer(
            bind,
            clock,
            timers,
            limits,
            channel="delegate_front",
            channel_of=lambda exchange: self.channel,
            shares_memory_of=callers,
        ).register(self)

    @handler("drain_started", channel="*")
    def _on_drain_started(self) -> None:
        self.admission.is_draining = True

    @handler("exchange_started")
    def _on_exchange_started(self, exchange: Exchange) -> None:
        call = read_call(exchange.headers)
        if call is None:
            _refuse(exchange, 400, "not_delegated", False)
            return
        exchange.headers = without_hop_headers(exchange.headers)
        exchange.delegated_call = call
        caller = self._codec.read_request(exchange.headers)
        time_left_ms = caller.time_left_ms if caller.time_left_ms is not None else 0
        verdict = self.admission.admit(call.config_version, time_left_ms)
        if verdict is DelegateVerdict.ACCEPTED:
            self.fire(exchange_started(exchange), self._forwarder_channel)
            return
        log_event(
            logevents.DELEGATION_REFUSED,
            request=caller.attempt_id,
            sender=call.sender_id,
            code=str(verdict),
        )
        asks_another, takes_requests = verdict.may_ask_another, verdict.takes_requests
        _refuse(exchange, STATUS_NOT_RUN, str(verdict), asks_another, takes_requests)


def _refuse(
    exchange: Exchange, status: int, code: str, asks_another: bool, takes_requests: bool = True
) -> None:
    """Refuse a request that has not run."""
    headers = answer_headers(RunState.NOT_RUN, asks_another, takes_requests)
    exchange.respond(status, (*JSON, *headers), error_body(code))
