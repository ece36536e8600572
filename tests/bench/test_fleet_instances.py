"""Tests of fleets with instances."""

import asyncio
import os
import time
import unittest

from ibispaddle_bench.callers import (
    CallResult,
    call_service,
    complete_chat,
    make_prompt,
    new_session,
)
from ibispaddle_bench.fleet import SERVICE, WORKSPACE_KEYS, Fleet, FleetSpec
from ibispaddle_bench.processes import ProcessError

KEY = WORKSPACE_KEYS["small"]


class FleetInstancesTest(unittest.TestCase):
    def test_instances_serve_models_and_services_and_end_in_order(self):
        """Guard against instances that cannot reach the stand-ins, or that outlive the fleet."""

        async def call(urls):
            async with new_session() as session:
                prompts = [make_prompt(f"prompt {index}", 2_000) for index in range(len(urls))]
                calls = [
                    complete_chat(session, url, KEY, prompt, 20)
                    for url, prompt in zip(urls, prompts, strict=True)
                ]
                call_key = f"{time.time_ns() // 1_000_000}-hold"
                path = f"{SERVICE}/holds/1"
                calls.append(call_service(session, urls[0], KEY, path, b"hold", call_key))
                return await asyncio.gather(*calls)

        with Fleet(FleetSpec(entries=2, runners=2, services=1, time_scale=20)) as fleet:
            outcomes = asyncio.run(call([entry.url for entry in fleet.entries]))
            entries = list(fleet.entries)
            stopped = entries[0].end(timeout_s=20)
        self.assertEqual([o.result for o in outcomes], [CallResult.ANSWERED] * 3, outcomes)
        self.assertEqual(stopped, 0)
        for entry in entries:
            with self.assertRaises(ProcessLookupError):
                os.kill(entry.pid, 0)

    def test_refused_settings_are_shown(self):
        """Guard against an error that does not show why an instance failed to start."""
        spec = FleetSpec(entries=1, runners=0, services=0, instance_settings={"unknown_key": 1})
        with self.assertRaisesRegex(ProcessError, "unknown_key"), Fleet(spec):
            pass


if __name__ == "__main__":
    unittest.main()
