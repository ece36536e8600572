"""State folded from the `orders` stream: desired state and newest takeover by upstream."""

from .records import Action, Executor, Order, Takeover


class OrdersState:
    """Desired states and takeovers, folded from the records in log order."""

    def __init__(self) -> None:
        self._order_ids: set[str] = set()
        self._desired: dict[str, dict[tuple[Action, str], Order]] = {}
        self._takeovers: dict[str, tuple[int, Executor]] = {}

    def fold(self, offset: int, record: Order | Takeover) -> None:
        """Apply one record; records must be in ascending order of offset."""
        match record:
            case Takeover():
                self._takeovers[record.upstream_id] = (offset, record.executor)
            case Order() if record.order_id not in self._order_ids:
                # An append whose response was lost is repeated; only the first copy is applied.
                self._order_ids.add(record.order_id)
                # A runner has one role but any number of models and adapters.
                value = "" if record.action is Action.SET_ROLE else record.value
                desired = self._desired.setdefault(record.upstream_id, {})
                desired[record.action, value] = record

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Return the ids of the upstreams that have an order, sorted."""
        return tuple(sorted(self._desired))

    def desired(self, upstream_id: str) -> tuple[Order, ...]:
        """Return the orders that make up the desired state of an upstream."""
        return tuple(self._desired.get(upstream_id, {}).values())

    def executor(self, upstream_id: str) -> Executor | None:
        """Return the writer of the newest takeover."""
        takeover = self._takeovers.get(upstream_id)
        return takeover[1] if takeover else None

    def token(self, upstream_id: str, executor: Executor) -> int | None:
        """Return the fencing token if this process wrote the newest takeover."""
        takeover = self._takeovers.get(upstream_id)
        return takeover[0] if takeover and takeover[1] == executor else None
