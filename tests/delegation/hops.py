"""An isolated instance's forwarder whose hops a test answers."""

import random

from ibispaddle_core.delegation import DelegateSelection
from ibispaddle_core.hubs import Candidate
from ibispaddle_core.routing import Route
from ibispaddle_core.runstate import RunState
from ibispaddle_daemon.delegated_call import answer_headers
from ibispaddle_daemon.delegation import Delegator
from ibispaddle_daemon.events import CallFailure, HttpCall, HttpCallError

from tests.forwarding.fakes import FakeCodec, ForwarderFixture

DELEGATES = ("d1", "d2")
LOST = HttpCallError(CallFailure.CLOSED, "reset", byte_sent=True)
UNREACHABLE = HttpCallError(CallFailure.UNREACHABLE, "no connection", byte_sent=False)


class HopFixture(ForwarderFixture):
    """A forwarder that can become isolated, with other instances that take its requests."""

    def __init__(self, route: Route, delegates: tuple[str, ...] = DELEGATES) -> None:
        super().__init__(route)
        self.is_isolated = False
        selection = DelegateSelection("", random.Random(1))
        self.delegator = Delegator(
            "i", self.forwarder, FakeCodec(), self.clock, self.timers, selection
        )
        self.delegator.replace_instances(
            [Candidate("i", "i:1", delegate_address="i:2"), Candidate("old", "old:1")]
            + [Candidate(name, f"{name}:1", delegate_address=f"{name}:2") for name in delegates]
        )
        self.forwarder.hand_over.delegator = self.delegator
        self.forwarder.hand_over.is_isolated = lambda: self.is_isolated

    def isolate(self) -> None:
        """Cut the instance from all upstreams."""
        self.is_isolated = True
        self.forwarder.hand_over.begin_isolation()
        self.advance(0)

    @property
    def hops(self) -> list[HttpCall]:
        """Return the calls to other instances."""
        return [call for call in self.client.calls if ":2/" in call.url]

    @property
    def attempts(self) -> list[HttpCall]:
        """Return the calls to upstreams."""
        return [call for call in self.client.calls if ":2/" not in call.url]

    def refuse(
        self, call: HttpCall, run_state: RunState, may_ask_another: bool, status: int = 503
    ) -> None:
        """Answer a hop as the delegate itself."""
        headers = (("retry", "9"), *answer_headers(run_state, may_ask_another))
        call.sink.call_head(call.call_id, status, headers)
        call.sink.call_data(call.call_id, b"refused")
        call.sink.call_ended(call.call_id, None)
        self.flush()

    def fail(self, call: HttpCall, error: HttpCallError) -> None:
        """End a call with an error."""
        call.sink.call_ended(call.call_id, error)
        self.flush()
