"""Orders to engines: desired state, takeovers and reconciliation."""

from .exceptions import OrderRecordError, OrdersError
from .reconciler import RECONCILE_INTERVAL_MS, ObservedRunnerState, Reconciler, SendOrder
from .records import (
    ACTION_ARGUMENTS,
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
    "ACTION_ARGUMENTS",
    "RECONCILE_INTERVAL_MS",
    "Action",
    "Executor",
    "Order",
    "OrderRecordError",
    "OrdersError",
    "OrdersState",
    "Reconciler",
    "ObservedRunnerState",
    "SendOrder",
    "Takeover",
    "order_record",
    "parse_record",
    "takeover_record",
]
