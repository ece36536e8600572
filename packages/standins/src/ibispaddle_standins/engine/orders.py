"""Orders to the engine, with a fencing check."""

from typing import Any

ACTIONS = ("load_model", "load_adapter", "set_role")


class Orders:
    """Apply orders, and refuse those with an outdated fencing number if fencing is enabled."""

    def __init__(self, models: list[str], role: str) -> None:
        self.models = models
        self.adapters: list[str] = []
        self.role = role
        self.highest_fencing = -1
        self.received: list[dict[str, Any]] = []

    def apply(self, order: dict[str, Any], check_fencing: bool) -> tuple[int, dict[str, Any]]:
        """Apply an order and return the status and body of the response."""
        action, args = order.get("action"), order.get("args") or {}
        fencing = order.get("fencing", -1)
        if action not in ACTIONS or "order_id" not in order:
            return 400, {"error": f"not an order: {order!r}"}
        accepted = not check_fencing or fencing >= self.highest_fencing
        self.received.append(order | {"accepted": accepted})
        if not accepted:
            return 409, {"error": "outdated fencing number", "highest": self.highest_fencing}
        self.highest_fencing = max(self.highest_fencing, fencing)
        match action:
            case "load_model":
                self.models[:] = sorted({*self.models, args["model"]})
            case "load_adapter":
                self.adapters = sorted({*self.adapters, args["adapter"]})
            case "set_role":
                self.role = args["role"]
        return 200, {"applied": True, "highest": self.highest_fencing}
