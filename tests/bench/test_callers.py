"""Tests of the callers: only a complete answer to the caller's own request counts as answered."""

import asyncio
import unittest

from ibispaddle_bench.callers import (
    CallResult,
    call_service,
    complete_chat,
    make_prompt,
    new_session,
)
from ibispaddle_bench.processes import start_stand_in
from ibispaddle_standins.answers import estimate_tokens


def run(call, *args, **kwargs):
    async def body():
        async with new_session() as session:
            return await call(session, *args, **kwargs)

    return asyncio.run(body())


class CompleteTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.engine = start_stand_in("engine", "--time-scale", "50")
        cls.addClassCleanup(cls.engine.kill)

    def complete(self, name, stream=True, **faults):
        self.engine.set_faults(**faults)
        try:
            prompt = make_prompt(name, 1_000)
            return run(complete_chat, self.engine.url, "key", prompt, 20, stream, 3_000)
        finally:
            self.engine.set_faults(**dict.fromkeys(faults))

    def test_complete_answers_count(self):
        """Guard against a caller that rejects correct answers."""
        for stream in (True, False):
            outcome = self.complete(f"right-{stream}", stream)
            self.assertEqual(outcome.result, CallResult.ANSWERED, outcome.detail)
            self.assertEqual(outcome.tokens, 20)
            self.assertGreater(outcome.first_byte_ms, 0)

    def test_wrong_answers_are_lost(self):
        """Guard against accepting an answer with missing, duplicated or foreign tokens."""
        faults = {"skip_every": 9, "duplicate_every": 9, "foreign_every": 9, "cut_after_tokens": 9}
        for name, value in faults.items():
            with self.subTest(name):
                outcome = self.complete(name, **{name: value})
                self.assertEqual(outcome.result, CallResult.LOST)
                self.assertTrue(outcome.detail)
        self.assertEqual(self.complete("whole", False, foreign_answer=1).result, CallResult.LOST)

    def test_refusal_without_proof_is_lost(self):
        """Guard against counting an error as refused although the request may have run."""
        outcome = self.complete("rejected", reject=1)
        self.assertEqual(outcome.result, CallResult.LOST)
        self.assertIn("status 503", outcome.detail)


class ServiceTest(unittest.TestCase):
    def test_second_run_of_a_call_is_lost(self):
        """Guard against a caller that does not detect that its call ran twice."""
        service = start_stand_in("service")
        self.addCleanup(service.kill)
        args = (service.url, "key", "shop/holds", b"body", "1-call")
        self.assertEqual(run(call_service, *args).result, CallResult.ANSWERED)
        self.assertEqual(run(call_service, *args).result, CallResult.LOST)


class PromptTest(unittest.TestCase):
    def test_prompt_has_the_exact_estimate(self):
        """Guard against prompts that end up in another length class than planned."""
        for tokens in (1, 1_000, 99_999):
            self.assertEqual(estimate_tokens(make_prompt("name", tokens)), tokens)
        self.assertNotEqual(make_prompt("a", 100), make_prompt("b", 100))


if __name__ == "__main__":
    unittest.main()
