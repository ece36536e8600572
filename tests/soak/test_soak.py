"""The soak in short: two seeded runs, and the judge that reads its records."""

import asyncio
import unittest
from types import SimpleNamespace

from .callers import Call
from .fleet import Changes, Disturbance
from .judge import STREAM, Judge, kinds_of
from .links import Link, Mode
from .plan import PLANNED, Kind, plan
from .run import run

# Seeds that have broken a promise once, with their causes, would be listed here: none has so far.
SEEDS = (1,)
PLANNED_SEEDS = (1,)


class SeededRunTest(unittest.TestCase):
    def test_promises_hold_under_faults(self) -> None:
        """Guards against promises that break only when faults overlap."""
        for seed in SEEDS:
            result = run(plan(seed))
            self.assertEqual(list(result.problems), [], result.plan)
            self.assertGreater(result.outcomes["200"], 100)

    def test_planned_work_cuts_nothing(self) -> None:
        """Guards against requests that planned stops, releases and changes cut."""
        for seed in PLANNED_SEEDS:
            result = run(plan(seed, is_planned_only=True))
            self.assertEqual(list(result.problems), [], result.plan)
            self.assertGreater(result.outcomes["200"], 100)


class PlanTest(unittest.TestCase):
    def test_planned_runs_have_planned_faults_only(self) -> None:
        """Guards against a run whose strict check is excused by a fault."""
        for seed in range(20):
            kinds = {fault.kind for fault in plan(seed, is_planned_only=True).faults}
            self.assertLessEqual(kinds, set(PLANNED))


class LinkTest(unittest.TestCase):
    def exchange(self, mode: Mode) -> bytes:
        """Return what an echo answers over a link, `reset` or `silent`."""

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"echo " + await reader.read(100))
            await writer.drain()
            writer.close()

        async def call() -> bytes:
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            link = await Link(f"{host}:{port}").open()
            link.set_mode(mode)
            host, port = link.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"x")
            try:
                async with asyncio.timeout(0.6):
                    return await reader.read(100)
            except TimeoutError:
                return b"silent"
            except ConnectionError:
                return b"reset"
            finally:
                writer.transport.abort()
                link.close()
                server.close()

        return asyncio.run(call())

    def test_modes(self) -> None:
        """Guards against faults that the soak plans but does not bring about."""
        expected = {
            Mode.OPEN: b"echo x",
            Mode.DELAY: b"echo x",
            Mode.RESET: b"reset",
            Mode.SILENT: b"silent",
            Mode.ONE_WAY: b"silent",
        }
        self.assertEqual({mode: self.exchange(mode) for mode in Mode}, expected)


class JudgeTest(unittest.TestCase):
    """Each record breaks one promise; a judge that misses it would pass any run."""

    def judge(self, call: Call, *runs: str, **changes: object) -> set[str]:
        """Return the promises that a call with runs at the named runners breaks."""
        run_record = {
            "path": changes.get("path", call.path),
            "body": call.attempt_id,
            "headers": {"attempt-id": call.attempt_id, "tenant": "blue"},
            "at_s": 10.0,
        }
        gone = SimpleNamespace(name="old", draining_s=5.0)
        idle = SimpleNamespace(
            name="llm-1",
            process=SimpleNamespace(
                state=lambda: {"reserved": changes.get("reserved", {}), "working": 0}
            ),
        )
        fleet = SimpleNamespace(
            runs=lambda: [(name, run_record) for name in runs],
            disturbances=changes.get("disturbances", []),
            changes=Changes(revoked=changes.get("revoked", {})),
            gone=[gone],
            runners=[idle],
            instances=[SimpleNamespace(events=lambda name: changes.get(name, []))],
        )
        return set(kinds_of(Judge(fleet, [call], 10.0).problems()))

    def call(self, **values: object) -> Call:
        fields = {"attempt_id": "a1", "route": "read", "path": "/read/x", "key": "k"}
        fields |= {"instance": 0, "is_kept": False, "sent_s": 9.0, "ended_s": 9.1, "outcome": 200}
        fields |= {"headers": {"server-stamp": "s", "attempt-id": "a1"}, "body": b"answer of s"}
        return Call(**{**fields, "is_complete": True, **values})

    def test_good_call(self) -> None:
        self.assertEqual(self.judge(self.call(), "s"), set())
        stream = self.call(route="stream", body=STREAM)
        self.assertEqual(self.judge(stream, "s"), set())

    def test_wrong_answers(self) -> None:
        """Guards against half, foreign or unsigned answers that pass for successes."""
        wrong = (
            self.call(body=b"answer"),
            self.call(route="stream", body=STREAM[:-5]),
            self.call(headers={"server-stamp": "s", "attempt-id": "a2"}),
            self.call(headers={"attempt-id": "a1"}, body=b"answer of "),
        )
        for call in wrong:
            self.assertEqual(self.judge(call, "s"), {"MIXED"}, call)
        self.assertIn("MIXED", self.judge(self.call()))

    def test_runs(self) -> None:
        """Guards against calls that run twice, unasked, too often or after a refusal."""
        self.assertEqual(self.judge(self.call(route="once"), "s", "t"), {"TWICE"})
        self.assertEqual(self.judge(self.call(), "s", "t", "u"), {"BUDGET"})
        self.assertIn("REFUSED", self.judge(self.call(outcome=503), "s"))
        self.assertEqual(self.judge(self.call(), "s", path="/other"), {"UNASKED"})
        self.assertEqual(self.judge(self.call(), "s", "old"), {"DRAIN"})

    def test_time_and_cuts(self) -> None:
        """Guards against requests without an end, and planned work that cuts some."""
        self.assertIn("TIME", self.judge(self.call(outcome="no answer", is_complete=False)))
        self.assertIn("TIME", self.judge(self.call(ended_s=13.5), "s"))
        cut = self.call(outcome="closed: reset", is_complete=False)
        self.assertIn("LOST", self.judge(cut, "s"))
        fault = Disturbance("runner s", Kind.RUNNER_KILL, 8.0, 8.5)
        self.assertNotIn("LOST", self.judge(cut, "s", disturbances=[fault]))
        stop = Disturbance("instance 0", Kind.INSTANCE_STOP, 8.0, 9.5)
        self.assertIn("LOST", self.judge(cut, "s", disturbances=[stop]))

    def test_configuration_and_leftovers(self) -> None:
        """Guards against keys that live on, memory that stays reserved, and failed handlers."""
        found = self.judge(self.call(), "s", revoked={"k": 2.0})
        self.assertLessEqual({"CONFIG"}, found)
        self.assertIn("LEAK", self.judge(self.call(), "s", reserved={"t": 1}))
        self.assertIn("LOG", self.judge(self.call(), "s", handler_failed=[{"text": "x"}]))
        self.assertIn("RECOVER", self.judge(self.call(outcome=504)))


if __name__ == "__main__":
    unittest.main()
