"""Reconciliation of a runner's observed state with its desired state."""

from dataclasses import dataclass

from .records import Action, Executor, Order
from .state import OrdersState

# Limits how long a late order stays in effect at a runner that ignores fencing tokens.
RECONCILE_INTERVAL_MS = 2_000


@dataclass(frozen=True)
class ObservedRunnerState:
    """The part of a load report that orders change."""

    boot_id: str
    models: frozenset[str]
    role: str


@dataclass(frozen=True)
class SendOrder:
    """An order to be sent with a fencing token."""

    order: Order
    token: int


class Reconciler:
    """Determines the orders that a process has to send."""

    def __init__(self, executor: Executor) -> None:
        self.executor = executor
        self._sent_ms: dict[str, int] = {}
        self._accepted_boots: dict[str, str] = {}

    def reconcile(
        self, state: OrdersState, upstream_id: str, report: ObservedRunnerState, now_ms: int
    ) -> tuple[SendOrder, ...]:
        """Return the orders that are not in effect, each at most once per interval."""
        token = state.token(upstream_id, self.executor)
        if token is None:
            return ()
        sends = []
        for order in state.desired(upstream_id):
            sent_ms = self._sent_ms.get(order.order_id)
            is_due = sent_ms is None or now_ms - sent_ms >= RECONCILE_INTERVAL_MS
            if is_due and not self._is_in_effect(order, report):
                self._sent_ms[order.order_id] = now_ms
                sends.append(SendOrder(order, token))
        return tuple(sends)

    def order_accepted(self, order: Order, boot_id: str) -> None:
        """Record that a boot of a runner has accepted an order."""
        self._accepted_boots[order.order_id] = boot_id

    def _is_in_effect(self, order: Order, report: ObservedRunnerState) -> bool:
        match order.action:
            case Action.LOAD_MODEL:
                return order.value in report.models
            case Action.SET_ROLE:
                return order.value == report.role
            case Action.LOAD_ADAPTER:
                # Load reports do not list adapters. Adapters are only ever added, so a late order
                # cannot undo one, and an acceptance is valid until the runner has a new boot id.
                return self._accepted_boots.get(order.order_id) == report.boot_id
