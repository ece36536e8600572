"""Tests of streams whose runners send nothing for a while and then go on.

The load pattern is prompts that are read slowly or runners that are busy: a stream falls silent for longer
than its route allows at the first runner, and again at the second one.
"""

import http.client
import signal
import threading
import time
import unittest

from .processes import KEY, STOP_S, STREAM_HEADERS, Platform

# Longer than the stall check of the route, which is 720 ms.
PAUSE_S = 1.2
EVENTS = 5
STREAMS = 6
GRACE_S = 8


class SilentStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=4, grace_s=GRACE_S)
        self.addCleanup(self.platform.__exit__)
        for runner in self.platform.runners:
            runner.set_faults(pause_s=PAUSE_S)
        self.bodies: list[object] = []

    def start_streams(self) -> list[threading.Thread]:
        """Send requests for streams on a kept connection each; the second one of each counts."""
        threads = [threading.Thread(target=self.read_stream, args=(n,)) for n in range(STREAMS)]
        for thread in threads:
            thread.start()
        return threads

    def read_stream(self, number: int) -> None:
        conn = http.client.HTTPConnection("127.0.0.1", self.platform.instance.port, timeout=8)
        headers = {"Host": "a.example", "Key": KEY, "Deadline-Ms": "8000", **STREAM_HEADERS}
        headers["Attempt-Id"] = f"s{number}"
        try:
            conn.request("POST", "/stream/x", b"prompt", headers)
            self.bodies.append(conn.getresponse().read())
        except (http.client.HTTPException, OSError) as exc:
            self.bodies.append(type(exc).__name__)
        finally:
            conn.close()

    def check_complete(self, threads: list[threading.Thread]) -> None:
        for thread in threads:
            thread.join()
        whole = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
        self.assertEqual(self.bodies, [whole] * STREAMS)
        runs: dict[str, int] = {}
        for run in self.platform.runs():
            attempt_id = run["headers"]["attempt-id"]
            runs[attempt_id] = runs.get(attempt_id, 0) + 1
        self.assertLessEqual(max(runs.values()), 2)  # The route allows two.

    def test_silent_streams_are_completed(self) -> None:
        """Guards against slow but sound streams that are cut (LOST)."""
        self.check_complete(self.start_streams())

    def test_silent_streams_are_completed_in_a_planned_stop(self) -> None:
        """Guards against requests that are cut around a planned stop because of a silence (LOST)."""
        threads = self.start_streams()
        time.sleep(0.2)
        self.platform.instance.proc.send_signal(signal.SIGTERM)
        self.check_complete(threads)
        self.assertEqual(self.platform.instance.proc.wait(STOP_S), 0)


if __name__ == "__main__":
    unittest.main()
