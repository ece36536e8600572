"""Test with many callers, some of which disconnect, while faults are injected into the engines."""

import collections
import json
import random
import socket
import threading
import time
import unittest

from ibispaddle_standins.answers import find_answer_error

from tests.support.waiting import wait_until

from .processes import Fleet, fleet_document
from .raw_http import AUTH, post, read_all

CALLERS = 40
DURATION_S = 4.0
FAULTS = (
    {"cut_after_tokens": 20},
    {"duplicate_every": 5, "foreign_every": 7},
    {"reject": True},
    {"freeze": True},
    {"skip_every": 40},
)


def check_response(data: bytes, prompt: str, tokens: int, stream: bool) -> str:
    """Return `ok`, the error code, or `wrong:` with a description of the fault."""
    head, _, rest = data.partition(b"\r\n\r\n")
    if not head:
        return "wrong: no response"
    if int(head.split()[1]) != 200:
        return json.loads(rest)["error"]["code"]
    if not stream:
        text = json.loads(rest)["choices"][0]["message"]["content"]
        fault = find_answer_error(text, prompt, tokens)
        return f"wrong: {fault}" if fault else "ok"
    events = [json.loads(line[6:]) for line in rest.split(b"\n") if line.startswith(b"data: {")]
    errors = [event["error"]["code"] for event in events if "error" in event]
    choices = [event["choices"][0] for event in events if "choices" in event]
    text = "".join(choice["delta"]["content"] for choice in choices)
    fault = find_answer_error(text, prompt, len(choices) if errors else tokens)
    is_done = b"data: [DONE]" in rest
    if not rest.endswith(b"0\r\n\r\n") or is_done == bool(errors):
        fault = fault or f"the end of the stream: {rest[-400:]!r}"
    return f"wrong: {fault}" if fault else (errors or ["ok"])[0]


class Caller(threading.Thread):
    """Send requests until the end of the test, and disconnect during some of them."""

    def __init__(self, number: int, address: str, ends: float) -> None:
        super().__init__(daemon=True)
        host, port = address.split(":")
        self.address = (host, int(port))
        self.ends = ends
        self.rng = random.Random(number)
        self.results: collections.Counter[str] = collections.Counter()

    def run(self) -> None:
        while time.monotonic() < self.ends:
            try:
                result = self.send()
            except Exception as exc:
                result = f"wrong: {exc!r}"
            self.results[result] += 1

    def send(self) -> str:
        prompt = f"prompt {self.rng.random()}"
        tokens, stream = self.rng.choice([3, 50, 300]), self.rng.random() < 0.7
        body = {"model": "m", "messages": [{"role": "user", "content": prompt}]}
        body |= {"max_tokens": tokens, "stream": stream}
        kind = self.rng.choice(["whole", "whole", "leave", "short"])
        headers = AUTH + "Connection: close\r\n"
        if kind == "short":
            headers += f"X-Request-Timeout-Ms: {self.rng.choice([50, 300, 1_500])}\r\n"
        request = post("/v1/chat/completions", json.dumps(body).encode(), headers)
        with socket.create_connection(self.address, timeout=30) as sock:
            sock.sendall(request)
            if kind == "leave":
                time.sleep(self.rng.random() * 0.3)
                return "left"
            return check_response(read_all(sock), prompt, tokens, stream)


class FaultsUnderLoadTest(unittest.TestCase):
    def test_every_response_is_correct_or_an_error(self):
        """Guard against wrong or endless responses, and leaked state, under combined faults."""
        document = fleet_document(scheduling={"retry_budget": 1.0, "stall_timeout_ms": 1_500})
        rng = random.Random(1)
        with Fleet(4, ("--time-scale", "10"), document=document) as fleet:
            ends = time.monotonic() + DURATION_S
            callers = [Caller(n, fleet.instance.address, ends) for n in range(CALLERS)]
            for caller in callers:
                caller.start()
            while time.monotonic() < ends - 0.5:
                runner, fault = rng.choice(fleet.runners), rng.choice(FAULTS)
                runner.set_faults(**fault)
                time.sleep(0.4)
                runner.set_faults(**dict.fromkeys(fault))
            for caller in callers:
                caller.join(40)
                self.assertFalse(caller.is_alive(), "a request did not end")
            results = sum((caller.results for caller in callers), collections.Counter())
            self.assertEqual([r for r in results if r.startswith("wrong")], [], results)
            self.assertGreater(results["ok"], 0)
            metric = fleet.instance.metric
            for name in ("requests_in_flight", "upstream_calls", "unsent_bytes"):
                wait_until(lambda n=name: metric(f"ibispaddle_{n}") <= 1, f"{name} at rest")
            wait_until(
                lambda: not any(r.state()["running"] + r.state()["waiting"] for r in fleet.runners),
                "idle engines",
            )
            self.assertEqual(metric("ibispaddle_requests_in_flight"), 0)
            self.assertEqual(fleet.instance.problems(), [])
            self.assertEqual(fleet.instance.stop(), 0)


if __name__ == "__main__":
    unittest.main()
