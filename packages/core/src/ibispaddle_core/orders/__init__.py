"""Orders to engines: desired state, takeovers and reconciliation."""

from .exceptions import OrderRecordError, OrdersError
from .reconciler import RECONCILE_INTERVAL_MS, Reconciler, RunnerReport, SendOrder
from .records import (
    ARGUMENTS,
    Action,
    Executor,
    Order,
    Takeover,
    order_record,
    parse_record,
    takeover_record,
)
from .state import OrdersState

__all__ = [
    "ARGUMENTS",
    "RECONCILE_INTERVAL_MS",
    "Action",
    "Executor",
    "Order",
    "OrderRecordError",
    "OrdersError",
    "OrdersState",
    "Reconciler",
    "RunnerReport",
    "SendOrder",
    "Takeover",
    "order_record",
    "parse_record",
    "takeover_record",
]
