"""Comparison of a runner's load report with its desired state."""

from dataclasses import dataclass

from .records import Action, Executor, Order
from .state import OrdersState

# Bounds how long a late order stays in effect at a runner that ignores fencing tokens.
RECONCILE_INTERVAL_MS = 2_000


@dataclass(frozen=True)
class ObservedRunnerState:
    """Hold the part of a load report that orders change."""

    boot_id: str
    models: frozenset[str]
    role: str


@dataclass(frozen=True)
class SendOrder:
    """Ask to send an order with a fencing token."""

    order: Order
    token: int


class Reconciler:
    """Decide which orders one process sends."""

    def __init__(self, executor: Executor) -> None:
        self.executor = executor
        self._sent_ms: dict[str, int] = {}
        self._accepted: dict[str, str] = {}

    def reconcile(
        self, state: OrdersState, upstream_id: str, report: ObservedRunnerState, now_ms: int
    ) -> tuple[SendOrder, ...]:
        """Return the orders whose effect is missing, each at most once per interval."""
        token = state.token(upstream_id, self.executor)
        if token is None:
            return ()
        sends = []
        for order in state.desired(upstream_id):
            sent_ms = self._sent_ms.get(order.order_id)
            is_due = sent_ms is None or now_ms - sent_ms >= RECONCILE_INTERVAL_MS
            if is_due and not self._is_shown(order, report):
                self._sent_ms[order.order_id] = now_ms
                sends.append(SendOrder(order, token))
        return tuple(sends)

    def order_accepted(self, order: Order, boot_id: str) -> None:
        """Note a runner's acceptance of an order."""
        self._accepted[order.order_id] = boot_id

    def _is_shown(self, order: Order, report: ObservedRunnerState) -> bool:
        match order.action:
            case Action.LOAD_MODEL:
                return order.value in report.models
            case Action.SET_ROLE:
                return order.value == report.role
            case Action.LOAD_ADAPTER:
                # A load report has no adapters. Loading only adds, so no late order undoes it, and
                # an acceptance holds until the runner has a new boot id.
                return self._accepted.get(order.order_id) == report.boot_id
