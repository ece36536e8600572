"""Tests of the usage totals with real processes: log outages and dropped records."""

import time
import unittest

import requests
from ibispaddle_bench.fleet import MODEL, OPERATOR_KEY, WORKSPACE_KEYS, Fleet, FleetSpec

OPERATOR = {"Authorization": f"Bearer {OPERATOR_KEY}"}
# The shortest retention that the settings accept with this claim window. Rollups are checked every
# 8 s, and a second one is due after 32 s.
RETENTION_MS = 130_000
LIMIT_S = 60.0


class AccountProcessesTest(unittest.TestCase):
    def setUp(self):
        spec = FleetSpec(
            entries=2,
            runners=1,
            instance_settings={
                "log_retention_ms": RETENTION_MS,
                "claim_window_ms": 1_000,
                "usage_flush_interval_ms": 200,
            },
        )
        self.fleet = Fleet(spec)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)

    def ask(self, entry):
        url = self.fleet.entries[entry].url + "/operator/usage"
        return requests.get(url, headers=OPERATOR, timeout=20)

    def set_faults(self, **faults):
        requests.post(self.fleet.log.url + "/admin/faults", json=faults, timeout=5)

    def records(self):
        url = self.fleet.log.url + "/streams/usage/records"
        return requests.get(url, timeout=5).json()["records"]

    def wait_for(self, condition):
        limit = time.monotonic() + LIMIT_S
        while not (found := condition()):
            self.assertLess(time.monotonic(), limit)
            time.sleep(0.1)
        return found

    def test_totals_include_records_that_the_log_has_dropped(self):
        """Guard against usage that is lost with old records, or wrong totals in an outage."""
        headers = {"Authorization": f"Bearer {WORKSPACE_KEYS['small']}"}
        body = {"model": MODEL, "messages": [{"role": "user", "content": "two words"}]}
        for entry in self.fleet.entries:
            url = entry.url + "/v1/chat/completions"
            answer = requests.post(url, json=body, headers=headers, timeout=30)
            self.assertEqual(answer.status_code, 200, answer.text)

        def rollup():
            found = [r["data"].get("rollup_part") for r in self.records()]
            found = [part for part in found if part]
            return found[-1] if found and len(found[-1]["boots"]) == 2 else None

        covering = self.wait_for(rollup)
        end = self.records()[-1]["offset"] + 1
        self.set_faults(retention_records=end - covering["as_of"] - 1)
        self.assertFalse(any("counters" in record["data"] for record in self.records()))
        for entry in (0, 1):
            usage = self.ask(entry).json()
            self.assertTrue(usage["complete"])
            (row,) = usage["workspaces"]
            self.assertEqual((row["workspace"], row["requests"]), ("small", 2))

        self.set_faults(outage=True)
        answer = self.ask(1)
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.json()["error"]["code"], "log_unavailable")
        self.assertIn("Retry-After", answer.headers)
        self.set_faults(outage=False)
        self.assertEqual(self.ask(1).status_code, 200)


if __name__ == "__main__":
    unittest.main()
