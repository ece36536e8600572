"""Tests of request parsing, error bodies, token estimates and content hashes."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.chat import (
    Kind,
    ProtocolError,
    content_fingerprint,
    error_body,
    error_event,
    fingerprint_steps,
    models_body,
    parse_request,
    parse_steps,
    prefix_hashes,
    refusal_error,
)
from ibispaddle_core.chat.hashes import STEP_BYTES
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling.messages import RefusalReason

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**60), 2**60) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["model", "messages", "role", "content", "prompt", "stream", "n", "x"]),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


def parse(document, kind=Kind.CHAT):
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    return parse_request(kind, body)


class ParseTest(unittest.TestCase):
    def test_chat_request(self):
        """Guard against content parts, roles or limits that are not counted."""
        parts = [{"type": "text", "text": "abcd"}, {"type": "image_url", "image_url": {}}]
        messages = [{"role": "system", "content": "ab"}, {"role": "user", "content": parts}]
        document = {"model": "m", "messages": messages, "stream": True, "max_tokens": 9, "x": 1}
        req = parse(document).unwrap()
        self.assertEqual((req.model, req.stream, req.max_output_tokens), ("m", True, 9))
        self.assertEqual(req.prompt_tokens, 2)  # "ab", a line feed and "abcd".

    def test_validation_errors_name_the_invalid_field(self):
        """Guard against errors that do not name the field to change."""
        message = {"role": "user", "content": "x"}
        for document, code, param in (
            (b"{", "invalid_json", None),
            (b"[]", "invalid_json", None),
            (b"\xff", "invalid_json", None),
            ({"messages": [message]}, "invalid_value", "model"),
            ({"model": "m"}, "invalid_value", "messages"),
            ({"model": "m", "messages": []}, "invalid_value", "messages"),
            ({"model": 1, "messages": [message]}, "invalid_value", "model"),
            ({"model": "m", "messages": [{}]}, "invalid_value", "messages[0].role"),
            ({"model": "m", "messages": [message], "max_tokens": 0}, "invalid_value", "max_tokens"),
            ({"model": "m", "messages": [message], "n": 2}, "invalid_value", "n"),
            ({"model": "m", "messages": [message], "stream": "yes"}, "invalid_value", "stream"),
        ):
            with self.subTest(document=document):
                error = parse(document).unwrap_err()
                self.assertEqual((error.status, error.code, error.param), (400, code, param))
                self.assertEqual(error.run_state, RunState.NOT_RUN)

    @settings(max_examples=300, deadline=None)
    @given(JSON_VALUES, st.sampled_from(list(Kind)))
    def test_any_json_gives_a_request_or_an_error(self, document, kind):
        """Guard against a crash on unexpected JSON."""
        result = parse(document, kind)
        if result.is_ok():
            self.assertTrue(result.unwrap().model)
        else:
            self.assertEqual(result.unwrap_err().status, 400)

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=40))
    def test_any_bytes_give_an_error(self, body):
        """Guard against a crash on a body that is not JSON."""
        self.assertTrue(parse(body).is_err())

    def test_deep_nesting_is_an_error(self):
        """Guard against a crash by unlimited recursion."""
        self.assertTrue(parse(b"[" * 100_000).is_err())


class ErrorTest(unittest.TestCase):
    def test_error_body_follows_the_protocol(self):
        """Guard against errors that client libraries cannot read."""
        error = json.loads(error_body(ProtocolError(404, "model_not_found", "No.", param="model")))
        expected = {
            "message": "No.",
            "type": "invalid_request_error",
            "param": "model",
            "code": "model_not_found",
            "run_state": "not_run",
        }
        self.assertEqual(error, {"error": expected})

    def test_every_refusal_has_an_error(self):
        """Guard against a refusal that the caller sees as an internal error."""
        for reason in RefusalReason:
            error = refusal_error(reason, RunState.UNKNOWN, 1_000)
            self.assertIn(b'"run_state":"unknown"', error_event(error))
            self.assertGreaterEqual(error.status, 400)

    def test_models(self):
        """Guard against a list that client libraries cannot read."""
        document = json.loads(models_body(["b", "a"], "w"))
        self.assertEqual([model["id"] for model in document["data"]], ["a", "b"])


class StepsTest(unittest.TestCase):
    def test_steps_of_a_long_prompt_are_short(self):
        """Guard against a long prompt that is hashed in one step and delays all streams."""
        text = "é" * (4 * STEP_BYTES)
        body = json.dumps({"model": "m", "messages": [{"role": "user", "content": text}]}).encode()
        steps = list(parse_steps(Kind.CHAT, body))
        self.assertEqual(len(steps), 1 + 4)
        document = parse(body).unwrap().document
        self.assertGreaterEqual(len(list(fingerprint_steps("chat", document, b"k"))), 8)


class HashTest(unittest.TestCase):
    def test_prefix_hashes_of_a_continued_prompt_share_a_prefix(self):
        """Guard against prefix cache misses when a conversation continues."""
        first, second = prefix_hashes("é" * 10_000), prefix_hashes("é" * 12_288 + "end")
        self.assertEqual((len(first), len(second)), (2, 3))
        self.assertEqual(first, second[:2])
        self.assertNotEqual(first, prefix_hashes("f" + "é" * 9_999))

    def test_fingerprint_depends_on_content_kind_and_key(self):
        """Guard against the quarantine of a request because of another request's content."""
        document = {"model": "m", "messages": [{"role": "user", "content": "x"}], "temperature": 0}
        fingerprints = {
            content_fingerprint("chat", document, b"k"),
            content_fingerprint("chat", document | {"temperature": 1}, b"k"),
            content_fingerprint("chat", document | {"model": "n"}, b"k"),
            content_fingerprint("text", document, b"k"),
            content_fingerprint("chat", document, b"l"),
        }
        self.assertEqual(len(fingerprints), 5)
        resent = dict(reversed(document.items())) | {"stream": True}
        self.assertIn(content_fingerprint("chat", resent, b"k"), fingerprints)


if __name__ == "__main__":
    unittest.main()
