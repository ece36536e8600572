"""Tests of the request path with the public client library, an instance process and stand-ins."""

import threading
import unittest

import openai
from ibispaddle_bench.processes import start_stand_in
from ibispaddle_standins.answers import find_answer_error

from tests.support.waiting import wait_until

from .processes import KEY, Fleet, fleet_document

PROMPT = "Draft a motif with lilies."


def client(fleet: Fleet, key: str = KEY, **kwargs) -> openai.OpenAI:
    """Return a client of the unmodified library, without its own retries."""
    return openai.OpenAI(
        api_key=key, base_url=f"{fleet.instance.url}/v1", max_retries=0, timeout=15, **kwargs
    )


class FleetTest(unittest.TestCase):
    """Use one fleet per class, and check after each test that no request or engine work remains."""

    RUNNERS = 2
    DOCUMENT = None
    SETTINGS = {}

    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(
            Fleet(cls.RUNNERS, document=cls.DOCUMENT, services=1, **cls.SETTINGS)
        )

    def setUp(self):
        self.client = self.enterContext(client(self.fleet))

    def tearDown(self):
        metric = self.fleet.instance.metric
        wait_until(lambda: metric("ibispaddle_requests_in_flight") == 0, "ended requests")
        wait_until(
            lambda: not any(r.state()["running"] for r in self.fleet.runners), "idle runners"
        )
        self.assertEqual(self.fleet.instance.problems(), [])

    def chat(self, prompt=PROMPT, tokens=8, **kwargs):
        messages = [{"role": "user", "content": prompt}]
        return self.client.chat.completions.create(
            model="m", messages=messages, max_tokens=tokens, **kwargs
        )


def home_document() -> dict:
    """Return a configuration whose model may run only in a region without runners."""
    document = fleet_document(
        data_centres={"dc1": {"region": "north"}, "dc2": {"region": "south"}},
    )
    document["workspaces"]["w"]["regions"] = ["north", "south"]
    document["models"]["m"]["regions"] = ["south"]
    return document


class HomeTest(FleetTest):
    DOCUMENT = home_document()

    def test_request_without_a_runner_in_its_home_is_refused_at_once(self):
        """Guard against a prompt that runs in a region that its model doesn't allow."""
        with self.assertRaises(openai.APIStatusError) as caught:
            self.chat()
        self.assertEqual(caught.exception.status_code, 503)
        self.assertEqual(caught.exception.code, "no_upstream_in_home")
        self.assertEqual(caught.exception.response.headers["X-Run-State"], "not_run")


class ClientLibraryTest(FleetTest):
    def test_streamed_chat(self):
        """Guard against a stream that the client library cannot parse."""
        parts = [chunk.choices[0].delta.content for chunk in self.chat(tokens=50, stream=True)]
        self.assertEqual(find_answer_error("".join(parts), PROMPT, 50), "")

    def test_non_streamed_chat(self):
        """Guard against a complete response that the client library cannot parse."""
        answer = self.chat(tokens=50)
        self.assertEqual(find_answer_error(answer.choices[0].message.content, PROMPT, 50), "")
        self.assertEqual(answer.usage.completion_tokens, 50)

    def test_text_completions(self):
        """Guard against incomplete support of text completions."""
        answer = self.client.completions.create(model="m", prompt=PROMPT, max_tokens=9)
        self.assertEqual(find_answer_error(answer.choices[0].text, PROMPT, 9), "")
        stream = self.client.completions.create(model="m", prompt=PROMPT, max_tokens=9, stream=True)
        self.assertEqual(
            find_answer_error("".join(c.choices[0].text for c in stream), PROMPT, 9), ""
        )

    def test_usage_of_a_stream(self):
        """Guard against a lost usage event."""
        options = {"include_usage": True}
        chunks = list(self.chat(tokens=4, stream=True, stream_options=options))
        self.assertEqual(chunks[-1].usage.completion_tokens, 4)

    def test_models(self):
        """Guard against a model list that the client library cannot parse."""
        self.assertEqual([model.id for model in self.client.models.list()], ["m"])

    def test_errors_map_to_the_librarys_exception_classes(self):
        """Guard against errors whose class, code or run state is lost."""
        user = [{"role": "user", "content": "x"}]
        with client(self.fleet, key="wrong") as stranger:
            for caller, error, status, code, request in (
                (stranger, openai.AuthenticationError, 401, "invalid_api_key", {"model": "m"}),
                (self.client, openai.NotFoundError, 404, "model_not_found", {"model": "other"}),
                (
                    self.client,
                    openai.BadRequestError,
                    400,
                    "invalid_value",
                    {"model": "m", "max_tokens": -1},
                ),
                (
                    self.client,
                    openai.BadRequestError,
                    400,
                    "context_length_exceeded",
                    {"model": "m", "max_tokens": 3_000_000},
                ),
            ):
                for stream in (False, True):
                    with self.subTest(code=code, stream=stream):
                        with self.assertRaises(error) as caught:
                            caller.chat.completions.create(messages=user, stream=stream, **request)
                        self.assertEqual(caught.exception.status_code, status)
                        self.assertEqual(caught.exception.code, code)
                        self.assertEqual(caught.exception.body["run_state"], "not_run")
                        headers = caught.exception.response.headers
                        self.assertEqual(headers["x-run-state"], "not_run")

    def test_deadline_ends_a_stream_with_an_error_event(self):
        """Guard against a stream that continues after its deadline or is taken for complete."""
        headers = {"X-Request-Timeout-Ms": "300"}
        with self.assertRaises(openai.APIError) as caught:
            for _ in self.chat(tokens=5_000, stream=True, extra_headers=headers):
                pass
        self.assertEqual(caught.exception.code, "deadline")
        self.assertEqual(caught.exception.body["run_state"], "unknown")


class FaultTest(FleetTest):
    RUNNERS = 1

    def tearDown(self):
        known = self.fleet.runners[0].state()["faults"]
        self.fleet.runners[0].set_faults(**dict.fromkeys(known))
        super().tearDown()

    def stream(self, tokens=40, **kwargs):
        chunks = self.chat(tokens=tokens, stream=True, **kwargs)
        return "".join(chunk.choices[0].delta.content for chunk in chunks)

    def test_duplicate_and_foreign_tokens_are_not_relayed(self):
        """Guard against duplicate tokens and tokens of another response."""
        self.fleet.runners[0].set_faults(duplicate_every=3, foreign_every=4)
        self.assertEqual(find_answer_error(self.stream(), PROMPT, 40), "")
        self.assertGreater(self.fleet.instance.metric("ibispaddle_dropped_events_total"), 0)

    def test_interrupted_stream_is_resumed_at_the_next_token(self):
        """Guard against lost or duplicate tokens after an interrupted connection."""
        self.fleet.runners[0].set_faults(cut_after_tokens=10)
        self.assertEqual(find_answer_error(self.stream(), PROMPT, 40), "")
        self.assertGreater(self.fleet.runners[0].state()["resumes"], 0)

    def test_skipped_token_is_not_hidden(self):
        """Guard against a gap: the stream is resumed at the missing token or ends with an error."""
        self.fleet.runners[0].set_faults(skip_every=30)
        with self.assertRaises(openai.APIError) as caught:
            self.stream()
        self.assertEqual(caught.exception.body["run_state"], "unknown")

    def test_response_to_another_request_is_not_relayed(self):
        """Guard against relaying the response to another request."""
        self.fleet.runners[0].set_faults(foreign_answer=True)
        with self.assertRaises(openai.APIStatusError) as caught:
            self.stream()
        self.assertEqual(caught.exception.body["run_state"], "unknown")

    def test_request_refused_by_the_engine_is_not_run(self):
        """Guard against an unknown run state after the engine stated that nothing ran."""
        self.fleet.runners[0].set_faults(reject=True)
        with self.assertRaises(openai.APIStatusError) as caught:
            self.stream()
        self.assertEqual(caught.exception.body["run_state"], "not_run")

    def test_request_to_a_frozen_engine_ends_at_the_deadline(self):
        """Guard against a request that waits forever for an engine that does not respond."""
        self.fleet.runners[0].set_faults(freeze="tokens")
        for stream in (True, False):
            with self.assertRaises(openai.APIStatusError) as caught:
                self.chat(stream=stream, extra_headers={"X-Request-Timeout-Ms": "400"})
            self.assertEqual(caught.exception.status_code, 504)

    def test_disconnected_caller_cancels_the_request_on_the_engine(self):
        """Guard against engine work for a disconnected caller."""
        before = self.fleet.runners[0].state()["cancels"]
        stream = self.chat(tokens=100_000, stream=True)
        next(iter(stream))
        stream.close()
        wait_until(lambda: self.fleet.runners[0].state()["cancels"] > before, "cancel")
        wait_until(lambda: self.fleet.runners[0].state()["running"] == 0, "idle engine")


class StalledEngineTest(FleetTest):
    RUNNERS = 1
    DOCUMENT = fleet_document(scheduling={"stall_timeout_ms": 200})

    def test_stalled_stream_ends_with_an_error(self):
        """Guard against a stalled stream that stays open until its deadline."""
        received = []
        with self.assertRaises(openai.APIError) as caught:
            for chunk in self.chat(tokens=100_000, stream=True):
                received.append(chunk)
                if len(received) == 5:
                    self.fleet.runners[0].set_faults(freeze="tokens")
        self.fleet.runners[0].set_faults(freeze=None)
        self.assertEqual(caught.exception.body["code"], "upstream_failed")


class SlowEngineTest(FleetTest):
    """An engine that computes nothing for longer than the stall timeout, and then goes on."""

    RUNNERS = 1
    DOCUMENT = fleet_document(scheduling={"stall_timeout_ms": 200, "first_token_timeout_ms": 200})
    FREEZE_S = 0.3
    FREEZES = 4  # More than the number of resumes without progress.

    def freeze(self, duration_s: float) -> None:
        engine = self.fleet.runners[0]
        engine.set_faults(freeze="tokens")
        threading.Timer(duration_s, engine.set_faults, kwargs={"freeze": None}).start()

    def test_stream_that_falls_silent_again_and_again(self):
        """Guard against a slow but sound stream that is cut."""
        parts = []
        for chunk in self.chat(tokens=400, stream=True):
            parts.append(chunk.choices[0].delta.content or "")
            if len(parts) % 60 == 0 and len(parts) <= 60 * self.FREEZES:
                self.freeze(self.FREEZE_S)
        self.assertEqual(find_answer_error("".join(parts), PROMPT, 400), "")

    def test_engine_that_is_slow_to_begin_keeps_its_work(self):
        """Guard against running work that is started again or given up because its engine is silent."""
        before = self.fleet.runners[0].state()["accepted"]
        for stream in (True, False):
            self.freeze(1.5)
            answer = self.chat(tokens=5, stream=stream)
            if stream:
                text = "".join(chunk.choices[0].delta.content or "" for chunk in answer)
            else:
                text = answer.choices[0].message.content
            self.assertEqual(find_answer_error(text, PROMPT, 5), "")
        self.assertEqual(self.fleet.runners[0].state()["accepted"], before + 2)


class CompleteResponseTest(FleetTest):
    """Responses that are not streamed arrive only when the last token is computed."""

    RUNNERS = 2
    DOCUMENT = fleet_document(
        models={"m": {"decode_tokens_per_s": 100.0}}, scheduling={"first_token_timeout_ms": 200}
    )
    TOKENS = 100
    DECODE_S = 1.0

    def test_long_response_is_not_started_again_elsewhere(self):
        """Guard against running work that is started again because its engine sends nothing until the end."""

        def accepted() -> int:
            return sum(runner.state()["accepted"] for runner in self.fleet.runners)

        before = accepted()
        for runner in self.fleet.runners:
            runner.set_faults(freeze="tokens")
        timer = threading.Timer(
            self.DECODE_S, lambda: [r.set_faults(freeze=None) for r in self.fleet.runners]
        )
        timer.start()
        answer = self.chat(tokens=self.TOKENS)
        text = answer.choices[0].message.content
        self.assertEqual(find_answer_error(text, PROMPT, self.TOKENS), "")
        self.assertEqual(accepted() - before, 1)


class RetryTest(FleetTest):
    RUNNERS = 2
    DOCUMENT = fleet_document(scheduling={"retry_budget": 1.0})

    def test_request_is_retried_on_another_engine_after_a_crash(self):
        """Guard against an error although another engine is available."""
        self.fleet.runners[0].kill()
        try:
            for _ in range(4):
                answer = self.chat(tokens=5)
                self.assertEqual(
                    find_answer_error(answer.choices[0].message.content, PROMPT, 5), ""
                )
        finally:
            self.fleet.runners.pop(0)


class TraceTest(unittest.TestCase):
    def test_spans_follow_the_callers_trace(self):
        """Guard against spans that are missing or outside the caller's trace."""
        collector = start_stand_in("collector")
        self.addCleanup(collector.end)
        fleet = self.enterContext(Fleet(1, trace_url=collector.url))
        trace = "0af7651916cd43dd8448eb211c80319c"
        headers = {"traceparent": f"00-{trace}-b7ad6b7169203331-01"}
        with client(fleet) as library:
            library.completions.create(
                model="m", prompt=PROMPT, max_tokens=3, extra_headers=headers
            )
        wait_until(lambda: len(collector.state()["spans"]) >= 2, "spans")
        spans = {span["kind"]: span for span in collector.state()["spans"]}
        outer, inner = spans[2], spans[3]
        self.assertEqual((outer["traceId"], outer["parentSpanId"]), (trace, "b7ad6b7169203331"))
        self.assertEqual((inner["traceId"], inner["parentSpanId"]), (trace, outer["spanId"]))


if __name__ == "__main__":
    unittest.main()
