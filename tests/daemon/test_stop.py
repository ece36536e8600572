"""Tests of the graceful shutdown and of TLS with real processes."""

import json
import ssl
import tempfile
import threading
import time
import unittest
from pathlib import Path

import openai
from ibispaddle_standins.answers import find_answer_error

from tests.support.certificates import CertificateAuthority
from tests.support.waiting import wait_until

from .processes import KEY, Fleet
from .raw_http import AUTH, chat_body, connect, post, read_all, read_response


class LoadThread(threading.Thread):
    """Send streamed requests sequentially until one is refused."""

    def __init__(self, url: str, number: int) -> None:
        super().__init__(daemon=True)
        self.url = url
        self.number = number
        self.complete = 0
        self.streaming = False
        self.problems: list[str] = []
        self.end = ""

    def run(self) -> None:
        prompt = f"prompt {self.number}"
        with openai.OpenAI(
            api_key=KEY, base_url=f"{self.url}/v1", max_retries=0, timeout=20
        ) as client:
            while not self.end:
                try:
                    parts = []
                    for chunk in client.completions.create(
                        model="m", prompt=prompt, max_tokens=40, stream=True
                    ):
                        self.streaming = True
                        parts.append(chunk.choices[0].text)
                    fault = find_answer_error("".join(parts), prompt, 40)
                    if fault:
                        self.problems.append(fault)
                    self.complete += 1
                except openai.APIStatusError as exc:
                    self.end = f"{exc.code} {exc.body['run_state']}"
                except openai.APIConnectionError as exc:
                    # Any other connection error means that a request was interrupted.
                    cause = repr(exc.__cause__)
                    self.end = "refused" if "refused" in cause else f"{exc!r}: {cause}"


class StopTest(unittest.TestCase):
    def test_stop_under_load_interrupts_no_request(self):
        """Guard against requests that a graceful shutdown interrupts or leaves without a response."""
        with Fleet(2, ("--time-scale", "2"), trace_url="http://127.0.0.1:9") as fleet:
            threads = [LoadThread(fleet.instance.url, number) for number in range(20)]
            for thread in threads:
                thread.start()
            wait_until(lambda: all(t.streaming and t.complete for t in threads), "load")
            started = time.monotonic()
            status = fleet.instance.stop()
            for thread in threads:
                thread.join(20)
            self.assertEqual(status, 0)
            self.assertLess(time.monotonic() - started, 10)
            self.assertEqual([t.problems for t in threads if t.problems], [])
            ends = {thread.end for thread in threads}
            self.assertLessEqual(ends, {"draining not_run", "refused"})
            self.assertEqual(fleet.instance.problems(), [])
            self.assertTrue(fleet.instance.events("instance_stopped"))

    def test_draining_instance_is_not_ready_and_refuses_new_requests(self):
        """Guard against new requests on an instance that is being stopped."""
        with Fleet(1, ("--time-scale", "1")) as fleet:
            address = fleet.instance.address
            with connect(address) as running, connect(address) as idle:
                body = chat_body(stream=True, max_tokens=90)
                running.sendall(post("/v1/chat/completions", body))
                idle.sendall(post("/v1/completions", b"{"))
                self.assertEqual(read_response(idle)[0], 400)
                self.assertIn(b"200 OK", running.recv(4_096))
                fleet.instance.proc.terminate()
                wait_until(lambda: fleet.instance.events("instance_draining"), "drain")
                with connect(address) as new:
                    new.sendall(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                    self.assertEqual(read_response(new)[0], 503)
                with connect(address) as new:
                    new.sendall(post("/v1/chat/completions", chat_body()))
                    status, headers, answer = read_response(new)
                    self.assertEqual((status, headers["retry-after"]), (503, "1"))
                    self.assertEqual(json.loads(answer)["error"]["code"], "draining")
                # A request on a connection that was opened before the drain is still answered.
                idle.sendall(post("/v1/chat/completions", chat_body()))
                status, headers, _ = read_response(idle)
                self.assertEqual((status, headers["connection"]), (200, "close"))
                self.assertIn(b"data: [DONE]", read_all(running))
            self.assertEqual(fleet.instance.proc.wait(10), 0)

    def test_stop_lasts_until_the_deadline_of_the_last_request(self):
        """Guard against interrupting a request that takes longer than the drain timeout."""
        with Fleet(1, ("--time-scale", "1"), drain_timeout_ms=100) as fleet:
            with connect(fleet.instance.address) as sock:
                sock.sendall(post("/v1/chat/completions", chat_body(max_tokens=60)))
                wait_until(lambda: fleet.runners[0].state()["running"], "start")
                self.assertIsNone(fleet.instance.proc.poll())
                fleet.instance.proc.terminate()
                self.assertEqual(read_response(sock)[0], 200)
            self.assertEqual(fleet.instance.proc.wait(10), 0)


class TlsTest(unittest.TestCase):
    def test_requests_over_tls(self):
        """Guard against a listener that ignores its certificate or blocks during handshakes."""
        with tempfile.TemporaryDirectory() as folder:
            authority = CertificateAuthority(Path(folder), "operators")
            cert, key = authority.sign("localhost")
            tls = {"certificate_file": cert, "key_file": key}
            with TlsFleet(1, tls=tls) as fleet:
                address = fleet.instance.address
                idle = [connect(address) for _ in range(3)]
                context = ssl.create_default_context(cafile=authority.file)
                with (
                    connect(address) as plain,
                    context.wrap_socket(plain, server_hostname="127.0.0.1") as sock,
                ):
                    body = chat_body(stream=True, max_tokens=500)
                    head = AUTH + "Connection: close\r\nX-Padding: " + "y" * 30_000 + "\r\n"
                    sock.sendall(post("/v1/chat/completions", body, head))
                    answer = read_all(sock)
                self.assertIn(b"data: [DONE]", answer)
                self.assertIn(b'"token_index": 499', answer)
                for sock in idle:
                    sock.close()
                self.assertEqual(fleet.instance.stop(), 0)
                self.assertEqual(fleet.instance.problems(), [])


class TlsFleet(Fleet):
    """A fleet whose instance serves only TLS, so its metrics cannot be read over plain HTTP."""

    def reachable(self) -> int:
        return len(self.runners)


if __name__ == "__main__":
    unittest.main()
