"""Tests of the state machine of a forwarded attempt."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_core.forwarding import (
    AttemptResult,
    BodyReceived,
    CallEnded,
    CompleteResponse,
    Effect,
    ForwardData,
    ForwardedAttempt,
    ForwardHead,
    HeadReceived,
    ResponseHead,
)
from ibispaddle_core.relay.event_blocks import EventSplitter
from ibispaddle_core.scheduling import Outcome

OK = ResponseHead(200, (("Server-Stamp", "x"),), is_authentic=True)
STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))


def run(attempt: ForwardedAttempt, *events: object) -> list[Effect]:
    """Return all effects of the events."""
    return [effect for event in events for effect in attempt.handle(event)]


def result_of(effects: list[Effect]) -> AttemptResult:
    """Return the single result of the attempt."""
    (result,) = [effect for effect in effects if isinstance(effect, AttemptResult)]
    return result


class CompleteResponseTest(unittest.TestCase):
    def outcome(self, head: ResponseHead, *events: object) -> AttemptResult:
        return result_of(run(ForwardedAttempt(streams=False), HeadReceived(head), *events))

    def test_complete_answer(self) -> None:
        end = self.outcome(OK, BodyReceived(b"a"), BodyReceived(b"b"), CallEnded(True))
        self.assertEqual(end.outcome, Outcome.COMPLETED)
        self.assertEqual(end.answer, CompleteResponse(200, OK.headers, b"ab"))

    def test_truncated_response_is_not_forwarded(self) -> None:
        """Guards against a truncated body that looks complete to the caller."""
        end = self.outcome(OK, BodyReceived(b"a"), CallEnded(False, True, "reset"))
        self.assertEqual((end.outcome, end.answer), (Outcome.FAILED, None))

    def test_unauthenticated_success_is_not_forwarded(self) -> None:
        """Guards against bytes of a faulty upstream that are forwarded as a success."""
        end = self.outcome(ResponseHead(200, ()), BodyReceived(b"a"), CallEnded(True))
        self.assertEqual((end.outcome, end.answer), (Outcome.FAILED, None))

    def test_response_to_another_request(self) -> None:
        """Guards against a late second response that reaches the wrong caller."""
        end = self.outcome(ResponseHead(200, (), is_for_other_request=True, is_authentic=True))
        self.assertEqual((end.outcome, end.answer), (Outcome.FAILED, None))

    def test_status_without_proof_does_not_mean_not_run(self) -> None:
        """Guards against a 503 for a request that may have run."""
        proved = self.outcome(ResponseHead(503, (), not_run=True, faulty_address="h:1"))
        self.assertEqual((proved.outcome, proved.faulty_address), (Outcome.REJECTED, "h:1"))
        for status in (408, 421, 429, 503):
            claimed = self.outcome(ResponseHead(status, (), is_authentic=True), CallEnded(True))
            self.assertEqual((claimed.outcome, claimed.answer), (Outcome.FAILED, None), status)

    def test_replaced_upstream_is_not_reported_as_overloaded(self) -> None:
        """Guards against retries on an upstream that no longer exists at its address."""
        replaced = self.outcome(ResponseHead(421, (), not_run=True))
        self.assertEqual(replaced.outcome, Outcome.WRONG_UPSTREAM)
        helper = self.outcome(ResponseHead(421, (), not_run=True, faulty_address="h:1"))
        self.assertEqual((helper.outcome, helper.faulty_address), (Outcome.REJECTED, "h:1"))

    def test_upstream_errors_are_kept_for_the_caller(self) -> None:
        """Guards against an error response with a different status than the upstream sent."""
        head = ResponseHead(500, (("Server-Stamp", "x"),), is_authentic=True)
        end = self.outcome(head, BodyReceived(b"no"), CallEnded(True))
        self.assertEqual(end.outcome, Outcome.ERROR)
        self.assertEqual(end.answer, CompleteResponse(500, head.headers, b"no"))

    def test_requests_that_failed_before_and_after_sending(self) -> None:
        """Guards against a retry of a call whose bytes may have reached the upstream."""
        unsent = result_of(run(ForwardedAttempt(False), CallEnded(False, False, "refused")))
        sent = result_of(run(ForwardedAttempt(False), CallEnded(False, True, "reset")))
        self.assertEqual(unsent.outcome, Outcome.NOT_SENT)
        self.assertEqual(sent.outcome, Outcome.FAILED)


class StreamTest(unittest.TestCase):
    def test_head_is_held_back_until_the_first_event(self) -> None:
        """Guards against a stream that cannot be retried because its head was forwarded."""
        attempt = ForwardedAttempt(streams=True)
        self.assertEqual(run(attempt, HeadReceived(OK), BodyReceived(b"id: 1\nda")), [])
        end = result_of(run(attempt, CallEnded(False, True, "reset")))
        self.assertEqual(end.outcome, Outcome.FAILED)

    def test_stream_that_ends_with_an_incomplete_event(self) -> None:
        """Guards against a truncated stream that ends like a complete one."""
        attempt = ForwardedAttempt(streams=True)
        effects = run(attempt, HeadReceived(OK), BodyReceived(STREAM + b"id: 6"), CallEnded(True))
        self.assertEqual(result_of(effects).outcome, Outcome.FAILED)
        self.assertEqual(attempt.last_event_id, 5)

    @given(st.lists(st.integers(0, len(STREAM)), max_size=8), st.integers(0, 5))
    def test_each_event_is_forwarded_once(self, cuts: list[int], seen: int) -> None:
        """Guards against missing and duplicate events, for any chunking and any resume position."""
        attempt = ForwardedAttempt(True, is_resumed=seen > 0, last_event_id=seen or None)
        bounds = sorted({0, *cuts, len(STREAM)})
        parts = [STREAM[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
        effects = run(attempt, HeadReceived(OK), *map(BodyReceived, parts), CallEnded(True))
        forwarded = b"".join(effect.data for effect in effects if isinstance(effect, ForwardData))
        expected = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(seen + 1, 6))
        self.assertEqual(forwarded, expected)
        heads = sum(isinstance(effect, ForwardHead) for effect in effects)
        self.assertEqual(heads, 0 if seen else 1)
        self.assertEqual(result_of(effects).outcome, Outcome.COMPLETED)

    def test_event_id_of_thousands_of_digits(self) -> None:
        """Guards against an exception at each read of a stream whose event id is not a number."""
        for digits in (21, 5_000):
            attempt = ForwardedAttempt(streams=True)
            data = b"id: " + b"9" * digits + b"\n\n"
            effects = run(attempt, HeadReceived(OK), BodyReceived(data))
            self.assertEqual(result_of(effects).outcome, Outcome.FAILED)

    def test_continuation_that_is_no_stream(self) -> None:
        """Guards against a stream that stays open after another upstream refused to continue it."""
        for status in (204, 302, 404, 500):
            attempt = ForwardedAttempt(streams=True, is_resumed=True, last_event_id=1)
            head = ResponseHead(status, (), is_authentic=True)
            effects = attempt.handle(HeadReceived(head))
            effects += attempt.handle(BodyReceived(b"failed"))
            effects += attempt.handle(CallEnded(is_complete=True))
            [result] = effects
            self.assertIn(result.outcome, (Outcome.ERROR, Outcome.FAILED))
            self.assertIsNone(result.answer)

    def test_events_after_the_result_are_ignored(self) -> None:
        """Guards against data of an ended attempt that reaches the caller."""
        attempt = ForwardedAttempt(streams=True)
        run(attempt, HeadReceived(ResponseHead(503, (), not_run=True)))
        self.assertEqual(run(attempt, HeadReceived(OK), BodyReceived(STREAM)), [])


class EventSplitterTest(unittest.TestCase):
    @given(st.lists(st.sampled_from([b"\r\n\r\n", b"\n\n", b"data: a", b"\n", b"id: 4"])))
    def test_events_contain_the_unchanged_bytes_of_the_stream(self, pieces: list[bytes]) -> None:
        """Guards against bytes that are changed by the splitter."""
        blocks, data = EventSplitter(), b"".join(pieces)
        found = b"".join(block.data for piece in pieces for block in blocks.feed(piece))
        self.assertTrue(data.startswith(found))
        self.assertEqual(blocks.has_incomplete_event, found != data)


if __name__ == "__main__":
    unittest.main()
