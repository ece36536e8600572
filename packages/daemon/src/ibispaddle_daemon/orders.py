"""Orders to runners: the log stream `orders`, takeovers and reconciliation."""

import itertools
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.membership import MemberKind, MembershipView, MemberState, rendezvous_select
from ibispaddle_core.orders import (
    RECONCILE_INTERVAL_MS,
    Executor,
    ObservedRunnerState,
    Order,
    OrdersState,
    Reconciler,
    SendOrder,
    Takeover,
    order_record,
    parse_record,
    takeover_record,
)
from ibispaddle_core.settings import InstanceSettings

from .calls import CallbackHttpClient, CallResult
from .events import log_append, log_follow
from .http_exchange import Exchange
from .logs import log_event, log_unreadable_record
from .operators import OperatorEndpoints, respond_json
from .responses import respond_error
from .timers import TimerQueue
from .tls import upstream_scheme

STREAM = "orders"
LOAD_TIMEOUT_MS = 1_000
# At most one copy of an order is in flight, because it is resent only after this interval.
ORDER_TIMEOUT_MS = RECONCILE_INTERVAL_MS

AppendCallback = Callable[[int | None], None]


class _LoadReport(msgspec.Struct):
    boot_id: str
    models: frozenset[str]
    role: str


class OrderDispatcher(BaseComponent):
    """Follow the orders and send those for the runners that are assigned to this instance."""

    channel = "orders"

    def __init__(
        self,
        settings: InstanceSettings,
        operators: OperatorEndpoints,
        view: MembershipView,
        boot: int,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._scheme = upstream_scheme(settings, MemberKind.RUNNER)
        self._view = view
        self._clock = clock
        self._timers = timers
        self._executor = Executor(settings.instance_id, boot)
        self._state = OrdersState()
        self._reconciler = Reconciler(self._executor)
        self._calls = CallbackHttpClient("order_calls", clock).register(self)
        self._position = 0  # Offset of the next record to be read.
        self._tokens = itertools.count(1)
        self._appends: dict[int, AppendCallback] = {}
        # Takeovers that were appended but not yet read back, with their offsets once known.
        self._unread_takeovers: dict[str, int | None] = {}
        self._round_number = 0
        operators.add_endpoint("GET", "/operator/orders", self._list_orders)
        operators.add_endpoint("POST", "/operator/orders", self._submit_order)

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self.fire(log_follow(STREAM, 0, self.channel), "*")
        self._reconcile()

    # Log

    @handler("log_records")
    def _on_log_records(
        self, stream: str, records: Iterable[LogRecord], first_offset: int, next_offset: int
    ) -> None:
        has_changed = False
        self._position = max(self._position, first_offset)
        for record in records:
            self._position = record.offset + 1
            parsed = parse_record(record.data)
            if parsed.is_err():
                log_unreadable_record(stream, record.offset, parsed.unwrap_err())
            else:
                self._state.fold(record.offset, parsed.unwrap())
                has_changed = True
        for upstream_id, offset in list(self._unread_takeovers.items()):
            if offset is not None and offset < self._position:
                del self._unread_takeovers[upstream_id]
        if has_changed:
            self._reconcile()

    def _append(self, data: dict[str, Any], callback: AppendCallback) -> None:
        token = next(self._tokens)
        self._appends[token] = callback
        self.fire(log_append(STREAM, data, token, self.channel), "*")

    @handler("log_appended")
    def _on_log_appended(self, token: int, offset: int | None, error: object) -> None:
        callback = self._appends.pop(token, None)
        if callback is not None:
            callback(None if error is not None else offset)

    # Reconciliation

    def _reconcile(self) -> None:
        """Take over or reconcile the runners of this instance, and repeat after the interval."""
        self._round_number += 1
        this_round = self._round_number

        def repeat() -> None:
            if self._round_number == this_round:
                self._reconcile()

        self._timers.after(RECONCILE_INTERVAL_MS, repeat)
        now_ms = self._clock.now_ms()
        instances = self._view.ranked_instances(now_ms)
        for upstream_id in self._state.upstreams:
            entry = self._view.entry(upstream_id)
            if entry is None or self._view.state(upstream_id, now_ms) is MemberState.DOWN:
                continue
            # The process with the newest takeover is responsible until another one takes over.
            if self._state.token(upstream_id, self._executor) is not None:
                self._query_load(upstream_id, f"{self._scheme}://{entry.address}", now_ms)
            elif rendezvous_select(upstream_id, instances) == (self._executor.instance_id,):
                self._append_takeover(upstream_id)

    def _append_takeover(self, upstream_id: str) -> None:
        if upstream_id in self._unread_takeovers:
            return

        def on_appended(offset: int | None) -> None:
            if offset is None or offset < self._position:
                self._unread_takeovers.pop(upstream_id, None)
            else:
                self._unread_takeovers[upstream_id] = offset

        self._unread_takeovers[upstream_id] = None
        self._append(takeover_record(Takeover(upstream_id, self._executor)), on_appended)

    def _query_load(self, upstream_id: str, url: str, now_ms: int) -> None:
        def on_response(result: CallResult) -> None:
            if result.error is not None or result.status != 200:
                return
            try:
                load = msgspec.json.decode(result.body, type=_LoadReport)
            except DECODE_ERRORS as exc:
                log_event(logevents.LOAD_UNREADABLE, upstream=upstream_id, reason=str(exc))
                return
            report = ObservedRunnerState(load.boot_id, load.models, load.role)
            # Using the time of the query keeps reconciliations a whole interval apart.
            due_orders = self._reconciler.reconcile(self._state, upstream_id, report, now_ms)
            for due in due_orders:
                self._send_order(due, url, load.boot_id)

        self._calls.send("GET", f"{url}/load", b"", LOAD_TIMEOUT_MS, on_response)

    def _send_order(self, due: SendOrder, url: str, boot_id: str) -> None:
        order = due.order
        body = {
            "order_id": order.order_id,
            "action": order.action,
            "args": order.args,
            "fencing": due.token,
        }

        def on_response(result: CallResult) -> None:
            if result.error is None and result.status == 200:
                self._reconciler.order_accepted(order, boot_id)
                return
            reason = (
                result.error.text
                if result.error
                else f"the runner responded with status {result.status}"
            )
            log_event(
                logevents.ORDER_NOT_ACCEPTED,
                order=order.order_id,
                upstream=order.upstream_id,
                reason=reason,
            )

        data = msgspec.json.encode(body)
        self._calls.send("POST", f"{url}/orders", data, ORDER_TIMEOUT_MS, on_response)

    # Operator endpoints

    def _list_orders(self, exchange: Exchange) -> None:
        upstreams = []
        for upstream_id in self._state.upstreams:
            entry = self._view.entry(upstream_id)
            executor = self._state.executor(upstream_id)
            upstreams.append(
                {
                    "upstream_id": upstream_id,
                    "checks_fencing": entry.fenced if entry else None,
                    "executor": executor.instance_id if executor else None,
                    "token": self._state.token(upstream_id, executor) if executor else None,
                    "orders": [order_record(o) for o in self._state.desired(upstream_id)],
                }
            )
        respond_json(exchange, 200, {"upstreams": upstreams})

    def _submit_order(self, exchange: Exchange) -> None:
        try:
            data = msgspec.json.decode(exchange.body, type=dict[str, Any])
        except DECODE_ERRORS as exc:
            text = f"The request cannot be decoded: {exc}."
            respond_error(exchange, ProtocolError(400, "invalid_request", text))
            return
        order = parse_record(data).unwrap_or(None)
        if not isinstance(order, Order):
            text = (
                "An order needs an order_id, an upstream_id, an action and the action's argument."
            )
            respond_error(exchange, ProtocolError(400, "invalid_request", text))
            return
        entry = self._view.entry(order.upstream_id)
        if entry is None or entry.kind is not MemberKind.RUNNER:
            text = f"There is no runner '{order.upstream_id[:100]}'."
            respond_error(exchange, ProtocolError(404, "unknown_runner", text))
            return

        def on_appended(offset: int | None) -> None:
            if offset is None:
                text = "The log did not confirm the order. Send it again with the same id."
                respond_error(exchange, ProtocolError(504, "order_unconfirmed", text))
            else:
                respond_json(exchange, 202, {"order_id": order.order_id, "offset": offset})

        self._append(order_record(order), on_appended)
