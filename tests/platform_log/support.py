"""A log server in the test process, and a component that follows it."""

import time
from urllib.parse import parse_qs, urlsplit

from circuits import BaseComponent, handler
from ibispaddle_core.clock import SystemClock
from ibispaddle_daemon.http_client import HttpClient
from ibispaddle_daemon.platform_log import PlatformLog
from ibispaddle_daemon.timers import TimerQueue

from tests.support.event_loop import RootComponent
from tests.support.json_server import JsonServer


class FakeLog(JsonServer):
    """Serve one stream; `responses` holds the responses to the next appends.

    A response is a status, or "close" to close the connection after the record was appended.
    """

    def __init__(self, times_ms=()):
        self.records = [{"offset": n, "time_ms": t, "data": {}} for n, t in enumerate(times_ms)]
        self.first_offset = 0
        self.responses = []
        self.reads = []
        self.read_status = 200
        self.max_hold_s = 0.3  # Longest time for which a read is held.
        self.body = None
        super().__init__()

    def handle(self, request, body):
        if request.command == "POST":
            self.append(request, body)
        else:
            self.read(request)

    def append(self, request, data):
        response = self.responses.pop(0) if self.responses else 200
        if response in (200, "close"):
            offset = len(self.records)
            time_ms = int(time.time() * 1000)
            self.records.append({"offset": offset, "time_ms": time_ms, "data": data})
        if response == "close":
            request.close_connection = True
            return
        self.reply(request, response, {"offset": len(self.records) - 1})

    def read(self, request):
        query = {k: int(v[0]) for k, v in parse_qs(urlsplit(request.path).query).items()}
        self.reads.append(query)
        if self.read_status != 200:
            self.reply(request, self.read_status, {})
            return
        limit = time.monotonic() + min(self.max_hold_s, query["wait_ms"] / 1000)
        while query["from"] >= len(self.records) and time.monotonic() < limit:
            time.sleep(0.005)
        start = max(query["from"], self.first_offset)
        page = {
            "first_offset": self.first_offset,
            "next_offset": len(self.records),
            "records": self.records[start : start + query["limit"]],
        }
        self.reply(request, 200, page)

    def reply(self, request, status, body):
        request.reply(status, body if self.body is None else self.body)


class Follower(BaseComponent):
    """Store the events of the log component."""

    channel = "follower"

    def __init__(self):
        super().__init__()
        self.records = []
        self.pages = []
        self.health = []
        self.appended = {}
        self.located = []

    @handler("log_records")
    def _on_log_records(self, stream, records, first_offset, next_offset):
        self.records += records
        self.pages.append((len(records), first_offset, next_offset))

    @handler("log_health", channel="*")
    def _on_log_health(self, available):
        self.health.append(available)

    @handler("log_appended")
    def _on_log_appended(self, token, offset, error):
        self.appended[token] = (offset, error)

    @handler("log_located")
    def _on_log_located(self, stream, offset, since_ms):
        self.located.append(offset)


class FollowerRoot(RootComponent):
    """Run a log component and a follower in a thread."""

    def __init__(self, url):
        clock = SystemClock()
        timers = TimerQueue(clock)
        self.log = PlatformLog(url, clock, timers, seed=1)
        self.follower = Follower()
        super().__init__(timers, HttpClient(clock), self.log, self.follower)
