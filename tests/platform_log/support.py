"""A log in the process of the test, reached by HTTP, and a component that follows it."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from ibispaddle_core.clock import SystemClock
from ibispaddle_daemon.http_client import HttpClient
from ibispaddle_daemon.platform_log import PlatformLog
from ibispaddle_daemon.timers import TimerQueue

WAIT_S = 10.0


def wait_until(condition, text):
    limit = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > limit:
            raise AssertionError(f"{text} did not hold within {WAIT_S} s")
        time.sleep(0.002)


class FakeLog:
    """Serve one stream; `answers` holds what the next calls meet instead of the normal answer.

    An answer is a status, or "close" to close the connection after the append took effect.
    """

    def __init__(self, times_ms=()):
        self.records = [{"offset": n, "time_ms": t, "data": {}} for n, t in enumerate(times_ms)]
        self.first_offset = 0
        self.answers = []
        self.reads = []
        self.read_status = 200
        self.body = None
        fake = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                data = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                answer = fake.answers.pop(0) if fake.answers else 200
                if answer in (200, "close"):
                    offset = len(fake.records)
                    record = {"offset": offset, "time_ms": int(time.time() * 1000), "data": data}
                    fake.records.append(record)
                if answer == "close":
                    self.close_connection = True
                    return
                self.reply(answer, {"offset": len(fake.records) - 1})

            def do_GET(self):
                query = {k: int(v[0]) for k, v in parse_qs(urlsplit(self.path).query).items()}
                fake.reads.append(query)
                if fake.read_status != 200:
                    self.reply(fake.read_status, {})
                    return
                limit = time.monotonic() + min(0.3, query["wait_ms"] / 1000)
                while query["from"] >= len(fake.records) and time.monotonic() < limit:
                    time.sleep(0.005)
                start = max(query["from"], fake.first_offset)
                page = {
                    "first_offset": fake.first_offset,
                    "next_offset": len(fake.records),
                    "records": fake.records[start : start + query["limit"]],
                }
                self.reply(200, page)

            def reply(self, status, body):
                data = json.dumps(body).encode() if fake.body is None else fake.body
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *args):
                """Print nothing."""

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()
        self.url = f"http://127.0.0.1:{self.server.server_address[1]}"

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Follower(BaseComponent):
    """Keep what the log component reports."""

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


class Root(BaseComponent):
    """Run a log component and a follower in a thread."""

    channel = "root"

    def __init__(self, url):
        super().__init__()
        clock = SystemClock()
        EPoll().register(self)
        timers = TimerQueue(clock).register(self)
        HttpClient(clock).register(self)
        self.log = PlatformLog(url, clock, timers, seed=1).register(self)
        self.follower = Follower().register(self)

    def __enter__(self):
        self.thread, _ = self.start()
        wait_until(lambda: self.running, "start")
        return self

    def __exit__(self, *exc):
        self.stop()
        self.thread.join(WAIT_S)
