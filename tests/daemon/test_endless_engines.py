"""Tests with engines that respond without end, to prompts and to what instances ask of them."""

import threading
import time
import unittest

import openai
from ibispaddle_bench.processes import call_json

from tests.support.entries import runner_entry
from tests.support.memory import resident_kb
from tests.support.upstreams import RawUpstream, read_request
from tests.support.waiting import wait_until

from .processes import KEY, Fleet, fleet_document

ENGINES = 6
CALLS = 8
# Maximum memory growth of an instance, as in the tests of the platform.
MAX_GROWTH_KB = 40_000
# A probe of an engine that failed is repeated for this time.
PROBES_S = 5.0


class EndlessEngineTest(unittest.TestCase):
    def test_memory_stays_bounded(self) -> None:
        """Guards against memory that grows with each status check, report and prompt (review/2)."""

        def script(conn, number):
            read_request(conn)
            conn.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                conn.sendall(b"z" * 65_536)

        fleet = self.enterContext(Fleet(0, document=fleet_document()))
        upstreams = [RawUpstream(script) for _ in range(ENGINES)]
        entries = [runner_entry(f"e{n}", up.address) for n, up in enumerate(upstreams)]
        for upstream in upstreams:
            self.addCleanup(upstream.close)
        before = resident_kb(fleet.instance.proc.pid)
        call_json(f"{fleet.list.url}/admin/entries", {"entries": entries}, method="PUT")
        wait_until(lambda: all(upstream.connections for upstream in upstreams), "probes")
        library = openai.OpenAI(
            api_key=KEY, base_url=f"{fleet.instance.url}/v1", max_retries=0, timeout=5
        )
        self.addCleanup(library.close)

        def send() -> None:
            with self.assertRaises(openai.APIError):
                library.completions.create(model="m", prompt="x", max_tokens=5)

        threads = [threading.Thread(target=send) for _ in range(CALLS)]
        for thread in threads:
            thread.start()
        ends_s = time.monotonic() + PROBES_S
        peak = 0
        while time.monotonic() < ends_s or any(thread.is_alive() for thread in threads):
            peak = max(peak, resident_kb(fleet.instance.proc.pid))
            time.sleep(0.02)
        self.assertLess(peak - before, MAX_GROWTH_KB)


if __name__ == "__main__":
    unittest.main()
