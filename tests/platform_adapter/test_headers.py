"""Headers of consumers and runners."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_daemon.forwarding import Helper, UpstreamCall
from ibispaddle_platform.headers import HeaderCodec

CODEC = HeaderCodec()
CALL = UpstreamCall("a1", "i-1", "blue", 1_234, 4)
TEXT = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=20)


class RequestTest(unittest.TestCase):
    def test_what_a_consumer_states(self) -> None:
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

    @given(st.lists(st.tuples(st.sampled_from(["Token-Count", "Deadline-Ms", "Key"]), TEXT)))
    def test_malformed_values_count_as_missing(self, headers: list[tuple[str, str]]) -> None:
        """Guards against a request that breaks the instance by its headers."""
        read = CODEC.read_request(tuple(headers))
        self.assertGreaterEqual(read.prompt_tokens, 0)
        self.assertTrue(read.time_left_ms is None or read.time_left_ms >= 0)


class UpstreamHeadersTest(unittest.TestCase):
    def headers(self, *headers: tuple[str, str], call: UpstreamCall = CALL) -> dict[str, str]:
        return {name.lower(): value for name, value in CODEC.upstream_headers(headers, call)}

    def test_the_key_is_replaced_by_the_workspace(self) -> None:
        """Guards against a key that reaches a runner, and a workspace that a consumer claims."""
        sent = self.headers(("Key", "secret"), ("Tenant", "other"))
        self.assertEqual(sent["tenant"], "blue")
        self.assertNotIn("key", sent)

    def test_headers_of_the_connection_stay_behind(self) -> None:
        """Guards against a smuggled request by the headers of one connection."""
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

    def test_time_that_is_left_replaces_the_consumers(self) -> None:
        """Guards against a runner that works longer than the consumer waits."""
        self.assertEqual(self.headers(("Deadline-Ms", "10000"))["deadline-ms"], "1234")

    def test_resumed_stream(self) -> None:
        """Guards against a stream that begins again where the consumer began."""
        call = UpstreamCall("a1", "i-1", "", 100, 4, last_event_id=7)
        self.assertEqual(self.headers(("Last-Event-Id", "2"), call=call)["last-event-id"], "7")

    def test_helpers(self) -> None:
        helpers = (Helper("h:1", "t"), Helper("h:2"))
        call = UpstreamCall("a1", "i-1", "", 100, 4, helpers=helpers)
        self.assertEqual(self.headers(("Helpers", "x:1"), call=call)["helpers"], "h:1/t,h:2")


class ResponseTest(unittest.TestCase):
    def test_receipt_and_id(self) -> None:
        """Guards against a foreign or unsigned answer that is taken for the runner's."""
        head = CODEC.read_head(200, (("Attempt-Id", "b"), ("Server-Stamp", "s")), "a")
        self.assertTrue(head.is_for_other_request)
        self.assertFalse(CODEC.read_head(200, (), "a").is_authentic)
        encoded = (("Server-Stamp", "s"), ("Content-Encoding", "gzip"))
        self.assertFalse(CODEC.read_head(200, encoded, "a").is_authentic)

    def test_proof_that_nothing_ran(self) -> None:
        """Guards against a refusal that is taken for a proof, or the reverse."""
        self.assertTrue(CODEC.read_head(503, (("Not-Executed", "1"),), "a").not_run)
        self.assertTrue(CODEC.read_head(421, (), "a").not_run)
        self.assertFalse(CODEC.read_head(503, (), "a").not_run)

    def test_time_to_come_back(self) -> None:
        self.assertEqual(CODEC.refusal_headers(250), (("Retry-After", "0.250"),))
        self.assertEqual(CODEC.refusal_headers(0), ())


if __name__ == "__main__":
    unittest.main()
