"""Tests of the conversion of the headers of consumers and runners."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_daemon.forwarding import Helper, UpstreamCall
from ibispaddle_platform.headers import HeaderCodec
from ibispaddle_platform.registrations import MAX_COLD_MS

CODEC = HeaderCodec()
CALL = UpstreamCall("a1", "i-1", "blue", 1_234, 4)
TEXT = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=20)


class RequestTest(unittest.TestCase):
    def test_consumer_headers_are_parsed(self) -> None:
        read = CODEC.read_request(
            (
                ("host", "a.example"),
                ("attempt-id", "a1"),
                ("token-count", "1460,80"),
                ("deadline-ms", "10000"),
                ("key", "k"),
                ("last-event-id", "12"),
            )
        )
        self.assertEqual((read.host, read.attempt_id, read.key), ("a.example", "a1", "k"))
        self.assertEqual((read.prompt_tokens, read.max_output_tokens), (1_460, 80))
        self.assertEqual((read.time_left_ms, read.last_event_id), (10_000, 12))

    def test_shared_parts_of_the_prompt(self) -> None:
        """Guards against a request's own part that is taken for one of other requests, too."""
        read = CODEC.read_request((("prefix-hash", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"),))
        self.assertEqual(read.prompt_parts, ("5c1e07a2", "91bd3f06"))
        for text in ("", "e4402b7d:250", ",e4402b7d:250"):
            self.assertEqual(CODEC.read_request((("prefix-hash", text),)).prompt_parts, ())

    @given(st.lists(st.tuples(st.sampled_from(["Token-Count", "Deadline-Ms", "Key"]), TEXT)))
    def test_malformed_values_count_as_missing(self, headers: list[tuple[str, str]]) -> None:
        """Guards against malformed headers that make the instance fail."""
        read = CODEC.read_request(tuple(headers))
        self.assertGreaterEqual(read.prompt_tokens, 0)
        self.assertTrue(read.time_left_ms is None or read.time_left_ms >= 0)


class UpstreamHeadersTest(unittest.TestCase):
    def headers(self, *headers: tuple[str, str], call: UpstreamCall = CALL) -> dict[str, str]:
        return {name.lower(): value for name, value in CODEC.upstream_headers(headers, call)}

    def test_the_key_is_replaced_by_the_workspace(self) -> None:
        """Guards against a key that is sent to a runner, and a workspace that is set by the consumer."""
        sent = self.headers(("Key", "secret"), ("Tenant", "other"))
        self.assertEqual(sent["tenant"], "blue")
        self.assertNotIn("key", sent)

    def test_hop_by_hop_headers_are_dropped(self) -> None:
        """Guards against request smuggling through hop-by-hop headers."""
        sent = self.headers(
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Content-Length", "5"),
            ("X-Kept", "yes"),
        )
        self.assertEqual(sent["x-kept"], "yes")
        for name in ("connection", "x-hop", "transfer-encoding", "content-length"):
            self.assertNotIn(name, sent)

    def test_remaining_time_replaces_the_consumers_deadline(self) -> None:
        """Guards against a runner that works for longer than the consumer waits."""
        self.assertEqual(self.headers(("Deadline-Ms", "10000"))["deadline-ms"], "1234")

    def test_resumed_stream(self) -> None:
        """Guards against a retry that restarts the stream from the consumer's original position."""
        call = UpstreamCall("a1", "i-1", "", 100, 4, last_event_id=7)
        self.assertEqual(self.headers(("Last-Event-Id", "2"), call=call)["last-event-id"], "7")

    def test_helpers(self) -> None:
        helpers = (Helper("h:1", "t"), Helper("h:2"))
        call = UpstreamCall("a1", "i-1", "", 100, 4, helpers=helpers)
        self.assertEqual(self.headers(("Helpers", "x:1"), call=call)["helpers"], "h:1/t,h:2")


class ResponseTest(unittest.TestCase):
    def test_stamp_and_attempt_id_are_checked(self) -> None:
        """Guards against accepting a response to another request or one without a stamp."""
        head = CODEC.read_head(200, (("Attempt-Id", "b"), ("Server-Stamp", "s")), "a")
        self.assertTrue(head.is_for_other_request)
        self.assertFalse(CODEC.read_head(200, (), "a").is_authentic)
        encoded = (("Server-Stamp", "s"), ("Content-Encoding", "gzip"))
        self.assertFalse(CODEC.read_head(200, encoded, "a").is_authentic)

    def test_headers_that_confirm_not_run(self) -> None:
        """Guards against confusing a plain refusal with a confirmation that the request did not run."""
        self.assertTrue(CODEC.read_head(503, (("Not-Executed", "1"),), "a").not_run)
        self.assertTrue(CODEC.read_head(421, (), "a").not_run)
        self.assertFalse(CODEC.read_head(503, (), "a").not_run)

    def test_named_limit(self) -> None:
        """Guards against a limit that is not read, or read from a value that is none."""
        for text, expected in (("2", 2.0), ("0.75", 0.75), (" .5 ", 0.5), ("0", 0.0)):
            head = CODEC.read_head(200, (("Server-Limit", text),), "a")
            self.assertEqual(head.limit_per_s, expected, text)
        for text in ("", "-1", "1e3", "inf", "nan", "2;x", "1_0", "٢", "9" * 400):
            head = CODEC.read_head(200, (("Server-Limit", text),), "a")
            self.assertIsNone(head.limit_per_s, text)
        self.assertIsNone(CODEC.read_head(200, (), "a").limit_per_s)

    def test_cold_runner(self) -> None:
        """Guards against a cold time that is not read, or read from a value that is none."""
        for text, expected in (("1200", 1_200), ("0", 0), ("12.6", 13), ("9" * 15, MAX_COLD_MS)):
            head = CODEC.read_head(200, (("Cold-Ms", text),), "a")
            self.assertEqual(head.cold_remaining_ms, expected, text)
        for text in ("", "-1", "soon", "inf", "nan"):
            self.assertIsNone(
                CODEC.read_head(200, (("Cold-Ms", text),), "a").cold_remaining_ms, text
            )
        self.assertIsNone(CODEC.read_head(200, (), "a").cold_remaining_ms)

    def test_leaving_runner(self) -> None:
        """Guards against a runner that leaves and is not recognised, or one that stays and is."""
        self.assertTrue(CODEC.read_head(200, (("Server-Leaving", "1"),), "a").is_leaving)
        for headers in ((), (("Server-Leaving", "0"),), (("Server-Leaving", ""),)):
            self.assertFalse(CODEC.read_head(200, headers, "a").is_leaving)

    def test_pause_of_a_runner(self) -> None:
        """Guards against a pause that is not read, or read from a response that asks for none."""
        for text, expected in (("3", 3_000), ("0.25", 250), ("-1", 0), ("soon", 0), ("9e9", 0)):
            head = CODEC.read_head(503, (("Retry-After", text),), "a")
            self.assertEqual(head.retry_after_ms, expected, text)
        self.assertEqual(CODEC.read_head(200, (("Retry-After", "3"),), "a").retry_after_ms, 0)
        endless = CODEC.read_head(503, (("Retry-After", "9" * 12),), "a")
        self.assertEqual(endless.retry_after_ms, 3_600_000)

    def test_retry_after_header(self) -> None:
        self.assertEqual(CODEC.refusal_headers(250), (("Retry-After", "0.250"),))
        self.assertEqual(CODEC.refusal_headers(0), ())


if __name__ == "__main__":
    unittest.main()
