"""A recorder of the HTTP client's events."""

from circuits import BaseComponent, handler


class Recorder(BaseComponent):
    """Keep all events of the channel `test`."""

    channel = "test"

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[tuple] = []

    @handler("call_completed", "call_sent", "call_head", "call_data", "call_ended", channel="test")
    def _on_any(self, event, *args):
        self.seen.append((event.name, *args))

    def of(self, call_id: str) -> list[tuple]:
        """Return the events of one call without its id."""
        return [(name, *rest) for name, found, *rest in list(self.seen) if found == call_id]
