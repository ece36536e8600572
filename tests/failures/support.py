"""Clients and the base test case for tests with injected failures.

Time limits are wall-clock times as a caller measures them. `SCHEDULING_MARGIN_S` allows for the
scheduling of the processes on a busy machine; no mechanism under test may depend on it.
"""

import contextlib
import http.client
import json
import threading
import time
import unittest
from typing import Any, Self

from ibispaddle_bench.fleet import MODEL, SERVICE, WORKSPACE_KEYS, Fleet, FleetSpec
from ibispaddle_bench.processes import ManagedProcess, call_json
from ibispaddle_standins.answers import prompt_hash, token_text

from tests.support.http import metric
from tests.support.waiting import wait_until

SCHEDULING_MARGIN_S = 0.5
API_KEY = WORKSPACE_KEYS["large"]
PROMPT = "Draft a motif with lilies."
# Short intervals keep the tests short; the mechanisms under test don't depend on them.
FAST_SETTINGS = {"list_poll_interval_ms": 200, "probe_interval_ms": 200}


def expected_text(prompt: str, tokens: int) -> str:
    """Return the completion that an engine generates for a prompt."""
    digest = prompt_hash(prompt)
    return "".join(token_text(digest, index) for index in range(tokens))


def long_prompt(name: str, tokens: int) -> str:
    """Return a prompt of the given number of tokens that is unique to the name."""
    return (f"{name} " * (4 * tokens))[: 4 * tokens]


class CallerThread(threading.Thread):
    """A client that sends one request on its own connection, in a thread.

    `seconds` is the time from sending the request to the end of the response. `connection_error`
    describes why the response ended early. The constructor starts the thread, so subclasses set
    their attributes before they call it.
    """

    def __init__(self, entry: ManagedProcess, timeout_ms: int) -> None:
        super().__init__(daemon=True)
        self.timeout_ms = timeout_ms
        self.status = 0
        self.headers: dict[str, str] = {}
        self.connection_error = ""
        self.seconds = 0.0
        self._conn = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=60)
        self.start()

    def run(self) -> None:
        started = time.monotonic()
        try:
            self._exchange()
        except (OSError, http.client.HTTPException, AttributeError, ValueError) as exc:
            # Closing the connection from another thread raises an AttributeError or ValueError
            # here.
            self.connection_error = repr(exc)
        finally:
            self.seconds = time.monotonic() - started
            self._conn.close()

    def _exchange(self) -> None:
        raise NotImplementedError

    def _send(
        self, method: str, path: str, body: bytes | str, key: str, **headers: str
    ) -> http.client.HTTPResponse:
        """Send the request, record status and headers of the response, and return it unread."""
        headers |= {"Authorization": f"Bearer {key}", "X-Request-Timeout-Ms": str(self.timeout_ms)}
        self._conn.request(method, path, body, headers)
        response = self._conn.getresponse()
        self.status = response.status
        self.headers = {name.lower(): value for name, value in response.getheaders()}
        return response

    def wait(self, timeout_s: float = 30.0) -> Self:
        """Wait until the request has ended and return the call."""
        self.join(timeout_s)
        if self.is_alive():
            raise AssertionError(f"no end within {timeout_s} s: {self.describe()}")
        return self

    def describe(self) -> str:
        """Return a description of the call for failure messages."""
        return f"status {self.status}, connection error {self.connection_error!r}, {self.seconds:.3f} s"


class ModelCall(CallerThread):
    """A completion request, with everything that the caller receives."""

    def __init__(
        self,
        entry: ManagedProcess,
        prompt: str = PROMPT,
        tokens: int = 8,
        timeout_ms: int = 5_000,
        stream: bool = True,
        key: str = API_KEY,
        context: str = "",
    ) -> None:
        """Create a call; `context` is the text of a message before the prompt."""
        self.key, self.context = key, context
        self.prompt, self.tokens, self.stream = prompt, tokens, stream
        self.parts: list[str] = []
        self.error: dict[str, Any] = {}
        self.is_end_received = False
        super().__init__(entry, timeout_ms)

    def _exchange(self) -> None:
        messages = [{"role": "user", "content": self.prompt}]
        if self.context:
            messages.insert(0, {"role": "system", "content": self.context})
        body = {
            "model": MODEL,
            "messages": messages,
            "max_tokens": self.tokens,
            "stream": self.stream,
        }
        path, media_type = "/v1/chat/completions", {"Content-Type": "application/json"}
        response = self._send("POST", path, json.dumps(body), self.key, **media_type)
        if response.status != 200:
            self.error = json.loads(response.read())["error"]
        elif self.stream:
            self._read_events(response)
        else:
            self.parts = [json.loads(response.read())["choices"][0]["message"]["content"]]
            self.is_end_received = True

    def _read_events(self, response: http.client.HTTPResponse) -> None:
        while line := response.readline():
            if line.startswith(b"data: [DONE]"):
                self.is_end_received = True
            elif line.startswith(b"data: "):
                event = json.loads(line[6:])
                self.error = event.get("error") or self.error
                for choice in event.get("choices", ()):
                    self.parts.append(choice["delta"].get("content") or "")

    @property
    def text(self) -> str:
        """Return the completion text received so far."""
        return "".join(self.parts)

    @property
    def run_state(self) -> str:
        """Return the run state that the error response reports, or an empty string."""
        return self.error.get("run_state", "")

    def disconnect(self) -> None:
        """Shut down the caller's connection."""
        with contextlib.suppress(OSError, AttributeError):
            self._conn.sock.shutdown(2)

    def wait_for_tokens(self, count: int = 1) -> "ModelCall":
        """Wait until the given number of tokens has arrived and return the call."""
        wait_until(lambda: len(self.parts) >= count, f"{count} tokens of {self.describe()}")
        return self

    def describe(self) -> str:
        """Return a description of the call for failure messages."""
        received = (
            f"{len(self.parts)} parts, end received {self.is_end_received}, error {self.error}"
        )
        return f"{received}, {super().describe()}"

    def answer_error(self) -> str:
        """Return why the response is invalid, or an empty string.

        A valid response is either complete and ends with `[DONE]`, or it is a prefix of the
        completion followed by an error and has no `[DONE]`.
        """
        if self.connection_error:
            return f"the connection broke: {self.describe()}"
        text = "\n".join(filter(None, (self.context, self.prompt)))
        expected = expected_text(text, self.tokens)
        if not expected.startswith(self.text):
            return f"text of another completion: {self.text[-80:]!r}; {self.describe()}"
        if self.is_end_received:
            return "" if self.text == expected and not self.error else f"cut: {self.describe()}"
        return "" if self.error else f"neither [DONE] nor an error: {self.describe()}"

    @property
    def is_complete(self) -> bool:
        """Return whether the complete and correct response arrived."""
        return self.is_end_received and not self.answer_error()


class ServiceCall(CallerThread):
    """A call to a service."""

    def __init__(
        self,
        entry: ManagedProcess,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        timeout_ms: int = 5_000,
        key: str = "",
    ) -> None:
        self.method, self.path, self.body, self.key = method, path, body, key
        self.answer: dict[str, Any] = {}
        super().__init__(entry, timeout_ms)

    def _exchange(self) -> None:
        headers = {"Idempotency-Key": self.key} if self.key else {}
        path = f"/services/{SERVICE}/{self.path}"
        self.answer = json.loads(
            self._send(self.method, path, self.body, API_KEY, **headers).read()
        )

    @property
    def run_state(self) -> str:
        """Return the run state that the error response reports, or an empty string."""
        return self.answer.get("error", {}).get("run_state", "")

    def describe(self) -> str:
        """Return a description of the call for failure messages."""
        return f"{self.path}, answer {self.answer}, {super().describe()}"


class FleetTest(unittest.TestCase):
    """Base class of tests against a fleet of real processes.

    The tests of a class share a fleet, unless `FLEET_PER_TEST` is set. Tests that end processes
    need their own fleet.
    """

    SPEC = FleetSpec(entries=1, runners=1, services=0, instance_settings=FAST_SETTINGS)
    FLEET_PER_TEST = False
    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        if not cls.FLEET_PER_TEST:
            cls.fleet = cls.enterClassContext(Fleet(cls.SPEC))

    def setUp(self) -> None:
        if self.FLEET_PER_TEST:
            self.fleet = self.enterContext(Fleet(self.SPEC))
        self.addCleanup(self.reset_faults)
        self.warm_up()

    def reset_faults(self) -> None:
        """Clear all faults and wait until the engines are idle."""
        if self.FLEET_PER_TEST:
            return
        for process in [*self.fleet.runners, *self.fleet.services, self.fleet.instance_list]:
            process.set_faults(**dict.fromkeys(process.state()["faults"]))
        for runner in self.fleet.runners:
            wait_until(lambda r=runner: r.state()["running"] == 0, "idle engine")

    @property
    def entry(self) -> ManagedProcess:
        """Return the first instance."""
        return self.fleet.entries[0]

    @property
    def runner(self) -> ManagedProcess:
        """Return the first engine."""
        return self.fleet.runners[0]

    def warm_up(self) -> None:
        """Wait until every instance has probed an engine and completes a prompt."""
        for entry in self.fleet.entries if self.fleet.runners else ():
            wait_until(lambda e=entry: ModelCall(e, tokens=1).wait().is_complete, "first answer")

    def call(self, **kwargs: Any) -> ModelCall:
        """Send a completion request to the first instance."""
        return ModelCall(self.entry, **kwargs)

    def in_flight(self, entry: ManagedProcess | None = None) -> float:
        """Return the number of requests in flight at an instance."""
        return metric(entry or self.entry, "ibispaddle_requests_in_flight")

    def engine_handles(self, runner: ManagedProcess) -> dict[str, int]:
        """Return the handles that reserve memory of an engine, with their sizes in tokens."""
        return call_json(f"{runner.url}/kv")["handles"]

    def assert_ended_in_time(self, call: ModelCall | ServiceCall) -> None:
        """Wait for a request and check that it ended within its timeout."""
        call.wait()
        limit_s = call.timeout_ms / 1000 + SCHEDULING_MARGIN_S
        self.assertLessEqual(call.seconds, limit_s, call.describe())

    def assert_answer_valid(self, call: ModelCall) -> None:
        """Wait for a request and check that its response is complete, or a prefix with an error."""
        self.assertEqual(call.wait().answer_error(), "")
