"""Recorder events_of the HTTP client's events."""

from circuits import BaseComponent, handler


class Recorder(BaseComponent):
    """Record all HTTP client events on the channel `test`."""

    channel = "test"

    def __init__(self) -> None:
        super().__init__()
        self.recorded: list[tuple] = []

    @handler("call_completed", "call_sent", "call_head", "call_data", "call_ended", channel="test")
    def _on_any(self, event, *args):
        self.recorded.append((event.name, *args))

    def events_of(self, call_id: str) -> list[tuple]:
        """Return the recorded events events_of a call, without the call id."""
        return [(name, *rest) for name, found, *rest in list(self.recorded) if found == call_id]
