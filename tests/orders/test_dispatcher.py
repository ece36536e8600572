"""Tests of the dispatcher of orders, with a log that answers in parts."""

import unittest
from types import SimpleNamespace

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.membership import MemberState
from ibispaddle_core.orders import Action, Executor, Order, Takeover, order_record, takeover_record
from ibispaddle_daemon.orders import OrderDispatcher

from tests.fleet.fakes import FakeTimers

BOOT = 7
RUNNER = "r1"


class DispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        clock = ManualClock()
        view = SimpleNamespace(
            ranked_instances=lambda now_ms: ("i",),
            entry=lambda name: SimpleNamespace(address="127.0.0.1:1"),
            state=lambda name, now_ms: MemberState.LIVE,
        )
        self.dispatcher = OrderDispatcher(
            SimpleNamespace(instance_id="i", runner_tls=None),
            SimpleNamespace(add_endpoint=lambda *args: None),
            view,
            BOOT,
            clock,
            FakeTimers(clock),
        )
        self.appended: list[dict] = []
        self.dispatcher._append = self.append
        self.dispatcher._query_load = lambda *args: None

    def append(self, data, callback) -> None:
        self.appended.append(data)
        callback(len(self.appended) + 9)  # The stream had ten records before.

    def read(self, *records: LogRecord, end: int) -> None:
        self.dispatcher._on_log_records("orders", records, 0, end)

    def test_one_takeover_while_the_stream_is_read_in_parts(self) -> None:
        """Guards against a takeover with each page that ends before the dispatcher's own takeover."""
        order = order_record(Order("o1", RUNNER, Action.LOAD_MODEL, {"model": "m"}))
        for offset in range(10):
            self.read(LogRecord(offset, 0, order), end=11)
        self.assertEqual(len(self.appended), 1)
        takeover = takeover_record(Takeover(RUNNER, Executor("i", BOOT)))
        self.read(LogRecord(10, 0, takeover), end=11)
        self.dispatcher._reconcile()
        self.assertEqual(len(self.appended), 1)
        self.assertEqual(self.dispatcher._unread_takeovers, {})


if __name__ == "__main__":
    unittest.main()
