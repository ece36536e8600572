"""Test helpers: an event loop in virtual time, and fake components."""

from circuits import BaseComponent, Event, handler
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.membership import InstanceList, ListedState, ListEntry, MemberKind
from ibispaddle_core.settings import InstanceSettings
from ibispaddle_daemon.events import call_completed, log_appended
from ibispaddle_daemon.timers import TimerQueue


def make_settings(instance_id="a", data_centre="v.1", **changes):
    values = {
        "instance_id": instance_id,
        "data_centre": data_centre,
        "log_url": "http://127.0.0.1:1",
        "list_url": "http://127.0.0.1:2",
        "peer_listen": "127.0.0.1:0",
    }
    return InstanceSettings(**(values | changes))


def instance(name, data_centre="v.1", peer_address="127.0.0.1:9", state=ListedState.LIVE):
    return ListEntry(name, MemberKind.ENTRY, "127.0.0.1:8", data_centre, state, peer_address)


def runner(name, data_centre="v.1", address="127.0.0.1:7", state=ListedState.LIVE):
    return ListEntry(name, MemberKind.RUNNER, address, data_centre, state)


def listing(version, *entries):
    return InstanceList(version, tuple(entries))


class started(Event):  # noqa: N801
    """Simulate the start event of the event loop."""


class _GenerateEvents:
    def reduce_time_left(self, seconds):
        """Ignore the time to wait."""


class VirtualEventLoop(BaseComponent):
    """Run components in virtual time and record all events."""

    channel = "loop"

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.timers = TimerQueue(self.clock).register(self)
        self.seen = []

    @handler(channel="*", priority=100)
    def _on_any(self, event, *args, **kwargs):
        if event.name not in ("registered", "generate_events"):
            self.seen.append((event.name, args))

    def start_components(self):
        self.process_events()
        self.fire(started(), "*")
        self.process_events()

    def process_events(self):
        while len(self):
            self.flush()

    def run_for(self, duration_ms, step_ms=10):
        for _ in range(0, duration_ms, step_ms):
            self.clock.advance(step_ms)
            self.timers._on_generate_events(_GenerateEvents())
            self.process_events()

    def events(self, name):
        return [args for found, args in self.seen if found == name]


class FakeHttp(BaseComponent):
    """Answer HTTP calls with the result of a function; for `None`, no response is sent."""

    channel = "http_client"

    def __init__(self, answer):
        super().__init__()
        self.answer = answer
        self.calls = []

    @handler("http_call")
    def _on_http_call(self, call):
        self.calls.append(call)
        answer = self.answer(call)
        if answer is not None:
            status, body, error = answer
            self.fire(call_completed(call.call_id, status, (), body, error), call.channel)


class FakeLog(BaseComponent):
    """Store appended records.

    `mode` is `ok`, `fail` or `lose` (appended, but reported as failed).
    """

    channel = "fake_log"

    def __init__(self):
        super().__init__()
        self.records = []
        self.mode = "ok"

    @handler("log_append", channel="*")
    def _on_log_append(self, stream, data, token, channel):
        if self.mode != "fail":
            self.records.append((stream, data))
        error = None if self.mode == "ok" else "no answer"
        offset = len(self.records) if self.mode == "ok" else None
        self.fire(log_appended(token, offset, error), channel)
