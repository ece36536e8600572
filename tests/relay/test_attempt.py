"""Tests of the attempt's state machine: relayed data, outcome and run state."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.relay import (
    Attempt,
    AttemptFinished,
    CancelRequested,
    DataReceived,
    FinalAnswer,
    FirstByteSent,
    HeadReceived,
    ReadingPaused,
    ReadingResumed,
    RelayData,
    ResponseEnded,
    SseParser,
    TimePassed,
)
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling.messages import Outcome

HEADERS = (
    ("X-Request-Id", "r1"),
    ("X-Engine-Boot", "b1"),
    ("Content-Type", "text/event-stream"),
)
DONE = b"data: [DONE]\n\n"


def chunk(index: int, text: str = "t", *, last: bool = False, completion: str = "c1") -> bytes:
    """Return one streamed chunk."""
    choice = {
        "index": 0,
        "token_index": index,
        "delta": {"content": text},
        "finish_reason": "stop" if last else None,
    }
    return b"data: " + json.dumps({"id": completion, "choices": [choice]}).encode() + b"\n\n"


def answer(count: int) -> list[bytes]:
    """Return the events of a complete answer."""
    return [*(chunk(i, f"t{i} ", last=i == count - 1) for i in range(count)), DONE]


def new_attempt(stream: bool = True, **kwargs) -> Attempt:
    return Attempt("r1", stream, now_ms=0, first_token_ms=1_000, stall_ms=100, **kwargs)


def run(attempt: Attempt, *events, now_ms: int = 0):
    """Return the relayed bytes, the number of tokens in them and the final effect."""
    effects = [effect for event in events for effect in attempt.handle(event, now_ms)]
    relayed = [effect for effect in effects if isinstance(effect, RelayData)]
    ends = [effect for effect in effects if isinstance(effect, AttemptFinished)]
    assert len(ends) <= 1, "an attempt ends once"
    return b"".join(r.data for r in relayed), sum(r.tokens for r in relayed), (ends or [None])[0]


def texts(data: bytes) -> list[str]:
    """Return the text of each relayed chunk."""
    payloads = [payload for payload in SseParser().feed(data) if payload != b"[DONE]"]
    return [json.loads(payload)["choices"][0]["delta"]["content"] for payload in payloads]


class StreamTest(unittest.TestCase):
    def started(self, **kwargs) -> Attempt:
        attempt = new_attempt(**kwargs)
        run(attempt, FirstByteSent(), HeadReceived(200, HEADERS))
        return attempt

    def test_complete_stream_is_relayed_unchanged(self):
        """Guard against an answer that is modified by the relay."""
        stream = b"".join(answer(5))
        data, tokens, end = run(self.started(), DataReceived(stream))
        self.assertEqual((data, tokens), (stream, 5))
        self.assertEqual((end.outcome, end.answer), (Outcome.COMPLETED, FinalAnswer.STREAM))

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(["ok", "repeat", "foreign", "skip"]), min_size=1, max_size=12),
        st.lists(st.integers(0, 2_000), max_size=10),
    )
    def test_only_the_own_answer_is_relayed_in_order(self, faults, cuts):
        """Guard against lost, duplicate and foreign tokens, for any chunking of the bytes."""
        stream, skipped = b"", False
        for index, fault in enumerate(faults):
            event = chunk(index, f"t{index}", last=index == len(faults) - 1)
            # The first token is never skipped, because it sets the completion's id.
            if fault == "skip" and index > 0:
                skipped = True
                continue
            stream += event
            if fault == "repeat":
                stream += event
            elif fault == "foreign":
                stream += chunk(index + 1, "foreign", completion="c2")
        stream += DONE
        ends = sorted({cut % len(stream) for cut in cuts}) + [len(stream)]
        parts = [stream[a:b] for a, b in zip([0, *ends], ends, strict=False)]
        attempt = self.started()
        data, _, end = run(attempt, *(DataReceived(part) for part in parts))
        relayed = texts(data)
        self.assertEqual(relayed, [f"t{i}" for i in range(len(relayed))])
        if skipped:
            self.assertEqual(end.outcome, Outcome.FAILED)
            self.assertEqual(end.answer, FinalAnswer.NONE)
        else:
            self.assertEqual(len(relayed), len(faults))
            self.assertEqual(end.outcome, Outcome.COMPLETED)

    def test_response_with_foreign_request_id_is_not_relayed(self):
        """Guard against the response to another request on the expected connection."""
        attempt = new_attempt()
        headers = (("X-Request-Id", "r2"), *HEADERS[1:])
        data, _, end = run(
            attempt, FirstByteSent(), HeadReceived(200, headers), DataReceived(chunk(0))
        )
        self.assertEqual(data, b"")
        self.assertEqual((end.outcome, end.run_state), (Outcome.FAILED, RunState.UNKNOWN))

    def test_end_without_marker_is_a_failure(self):
        """Guard against a truncated stream that looks complete."""
        for events in ([chunk(0)], answer(2)[:-1]):
            stream = DataReceived(b"".join(events))
            _, _, end = run(self.started(), stream, ResponseEnded(True, True))
            self.assertEqual(end.outcome, Outcome.FAILED)

    def test_end_marker_before_the_finish_reason_is_a_failure(self):
        """Guard against an answer whose last tokens are missing."""
        _, _, end = run(self.started(), DataReceived(chunk(0) + DONE))
        self.assertEqual(end.outcome, Outcome.FAILED)

    def test_stream_cancelled_by_the_engine_is_a_failure(self):
        """Guard against a partial answer that ends with a cancellation chunk."""
        event = chunk(1, "").replace(b'"finish_reason": null', b'"finish_reason": "cancelled"')
        data, _, end = run(self.started(), DataReceived(chunk(0) + event))
        self.assertEqual(data, chunk(0))
        self.assertEqual(end.outcome, Outcome.FAILED)

    def test_content_without_index_is_not_relayed(self):
        """Guard against tokens whose position cannot be verified."""
        event = b'data: {"id": "c1", "choices": [{"delta": {"content": "x"}}]}\n\n'
        data, _, end = run(self.started(), DataReceived(event))
        self.assertEqual((data, end.outcome), (b"", Outcome.FAILED))

    def test_usage_event_is_relayed(self):
        """Guard against lost usage data for callers that request it."""
        usage = b'data: {"id": "c1", "choices": [], "usage": {"prompt_tokens": 7}}\n\n'
        stream = b"".join([*answer(1)[:-1], usage, DONE])
        attempt = self.started()
        data, _, _ = run(attempt, DataReceived(stream))
        self.assertEqual(data, stream)
        self.assertEqual(attempt.usage.prompt_tokens, 7)

    def test_resume_continues_at_the_index_and_boot(self):
        """Guard against a resumed stream with repeated or skipped tokens or from a new engine process."""
        resume = {"next_index": 3, "completion_id": "c1", "boot_id": "b1"}
        events = [chunk(2, "t2"), chunk(3, "t3", last=True), DONE]
        data, tokens, end = run(self.started(**resume), DataReceived(b"".join(events)))
        self.assertEqual((texts(data), tokens, end.outcome), (["t3"], 1, Outcome.COMPLETED))
        other = new_attempt(**resume | {"boot_id": "b0"})
        _, _, end = run(other, HeadReceived(200, HEADERS))
        self.assertEqual(end.outcome, Outcome.FAILED)

    def test_stall(self):
        """Guard against a stream that sends no tokens indefinitely."""
        attempt = self.started()
        self.assertIsNone(run(attempt, TimePassed(), now_ms=999)[2])
        run(attempt, DataReceived(chunk(0)), now_ms=999)
        foreign = DataReceived(chunk(1, completion="c2"))
        self.assertIsNone(run(attempt, foreign, TimePassed(), now_ms=1_098)[2])
        _, _, end = run(attempt, TimePassed(), now_ms=1_099)
        self.assertEqual((end.outcome, end.run_state), (Outcome.STALLED, RunState.UNKNOWN))

    def test_paused_reading_is_not_a_stall(self):
        """Guard against an upstream that is blamed for a slow caller."""
        attempt = self.started()
        run(attempt, DataReceived(chunk(0)), ReadingPaused())
        self.assertIsNone(attempt.stall_deadline_ms)
        run(attempt, ReadingResumed(), now_ms=5_000)
        self.assertEqual(attempt.stall_deadline_ms, 5_100)


class CompletionTest(unittest.TestCase):
    BODY = b'{"id": "c1", "choices": [{"finish_reason": "stop"}], "usage": {"prompt_tokens": 3}}'

    def test_answer_is_returned_unchanged(self):
        """Guard against a changed body."""
        attempt = new_attempt(stream=False)
        events = [DataReceived(self.BODY[:9]), DataReceived(self.BODY[9:])]
        data, _, end = run(attempt, HeadReceived(200, HEADERS), *events, ResponseEnded(True, True))
        self.assertEqual((data, end.status, end.body), (b"", 200, self.BODY))
        self.assertEqual(attempt.usage.prompt_tokens, 3)

    def test_truncated_or_invalid_body_is_a_failure(self):
        """Guard against garbage that is relayed as an answer."""
        for body, complete in ((self.BODY, False), (self.BODY[:20], True), (b"\xff{}", True)):
            events = [DataReceived(body), ResponseEnded(complete, True)]
            _, _, end = run(new_attempt(stream=False), HeadReceived(200, HEADERS), *events)
            self.assertEqual((end.outcome, end.answer), (Outcome.FAILED, FinalAnswer.NONE))

    def test_refusals(self):
        """Guard against a refusal without proof that is reported as not run."""
        error = b'{"error": {"message": "m", "code": "%s"}}'
        for status, body, outcome, run_state in (
            (429, error % b"queue_full", Outcome.REJECTED, RunState.NOT_RUN),
            (503, error % b"rejected", Outcome.REJECTED, RunState.NOT_RUN),
            (400, error % b"context_length_exceeded", Outcome.REJECTED, RunState.NOT_RUN),
            (400, b"garbage", Outcome.FAILED, RunState.UNKNOWN),
            (503, error % b"other", Outcome.FAILED, RunState.UNKNOWN),
            (409, error % b"duplicate", Outcome.FAILED, RunState.UNKNOWN),
            (500, error % b"queue_full", Outcome.FAILED, RunState.UNKNOWN),
        ):
            with self.subTest(status=status, body=body):
                events = [HeadReceived(status, ()), DataReceived(body), ResponseEnded(True, True)]
                _, _, end = run(new_attempt(), *events)
                self.assertEqual((end.outcome, end.run_state), (outcome, run_state))


EVENTS = st.sampled_from(
    [
        ("sent", FirstByteSent()),
        ("head", HeadReceived(200, HEADERS)),
        ("head", HeadReceived(200, ())),
        ("head", HeadReceived(500, ())),
        ("refusal", HeadReceived(429, ())),
        ("data", DataReceived(b'{"error": {"code": "queue_full"}}')),
        ("data", DataReceived(b'{"error": {"co')),
        ("data", DataReceived(chunk(0))),
        ("data", DataReceived(chunk(1, last=True) + DONE)),
        ("end", ResponseEnded(True, True)),
        ("cut", ResponseEnded(False, True)),
        ("unsent", ResponseEnded(False, False)),
        ("cancel", CancelRequested()),
        ("time", TimePassed()),
    ]
)


class RunStateTest(unittest.TestCase):
    @settings(max_examples=1_000, deadline=None)
    @given(st.lists(EVENTS, max_size=8), st.booleans(), st.integers(0, 2_000))
    def test_not_run_only_without_bytes_or_with_proof(self, events, stream, now_ms):
        """Guard against `not_run` for a request that may have run, in any order of events."""
        attempt = new_attempt(stream=stream)
        written, last_status, body, proved = False, 0, b"", False
        for name, event in events:
            # A response implies that bytes were written; an end without written bytes cannot follow.
            if name == "unsent" and written:
                continue
            written = written or name not in ("unsent", "cancel", "time", "data")
            if name == "data" and not written:
                continue
            if name in ("head", "refusal"):
                last_status = event.status
            if name == "data":
                body += event.data
            if name == "end":
                whole = body.endswith(b'{"error": {"code": "queue_full"}}')
                proved = last_status == 429 and whole
            effects = attempt.handle(event, now_ms)
            for effect in effects:
                if isinstance(effect, AttemptFinished) and effect.run_state is RunState.NOT_RUN:
                    self.assertTrue(not written or proved, events)
                if isinstance(effect, AttemptFinished) and effect.outcome is Outcome.NOT_SENT:
                    self.assertFalse(written)
        if attempt.finished is not None:
            self.assertEqual(attempt.handle(ResponseEnded(True, True), now_ms), [])


if __name__ == "__main__":
    unittest.main()
