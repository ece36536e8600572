"""Four short seeded soak runs, and tests of the soak's own parts."""

import asyncio
import unittest
from types import SimpleNamespace

from .callers import Call
from .fleet import Changes, Disturbance
from .judge import STREAM_BODY, InvariantChecker, count_by_invariant
from .links import Link, LinkMode
from .plan import PLANNED, FaultKind, create_plan
from .run import run

# Seeds whose runs had violations are added here with the cause; there are none so far.
SEEDS = (1,)
PLANNED_SEEDS = (1,)
SHORT_READS_SEEDS = (1,)
CUT_LINKS_SEEDS = (1,)


class SeededRunTest(unittest.TestCase):
    def test_invariants_hold_under_faults(self) -> None:
        """Guards against invariants that are violated only when faults overlap."""
        for seed in SEEDS:
            result = run(create_plan(seed))
            self.assertEqual(list(result.violations), [], result.plan)
            self.assertGreater(result.outcomes["200"], 100)

    def test_planned_operations_lose_no_requests(self) -> None:
        """Guards against requests that fail because of planned stops, replacements and changes."""
        for seed in PLANNED_SEEDS:
            result = run(create_plan(seed, is_planned_only=True))
            self.assertEqual(list(result.violations), [], result.plan)
            self.assertGreater(result.outcomes["200"], 100)

    def test_invariants_hold_with_short_reads(self) -> None:
        """Guards against outdated data that counts as recent because the store answers in parts."""
        for seed in SHORT_READS_SEEDS:
            result = run(create_plan(seed, has_short_reads=True))
            self.assertEqual(list(result.violations), [], result.plan)
            self.assertGreater(result.outcomes["200"], 100)

    def test_invariants_hold_while_the_store_turns_instances_away(self) -> None:
        """Guards against old data at instances that the store turns away (issue 49)."""
        for seed in CUT_LINKS_SEEDS:
            result = run(create_plan(seed, has_cut_links=True))
            self.assertEqual(list(result.violations), [], result.plan)
            self.assertGreater(result.outcomes["200"], 100)


class PlanTest(unittest.TestCase):
    def test_planned_runs_have_planned_faults_only(self) -> None:
        """Guards against unplanned faults that relax the checks of a planned run."""
        for seed in range(20):
            kinds = {fault.kind for fault in create_plan(seed, is_planned_only=True).faults}
            self.assertLessEqual(kinds, set(PLANNED))

    def test_cut_links_leave_one_instance(self) -> None:
        """Guards against runs in which the store serves nobody, so that nothing is checked."""
        plans = [create_plan(seed, has_cut_links=True) for seed in range(20)]
        cuts = [(p, f) for p in plans for f in p.faults if f.kind is FaultKind.STORE_LINKS]
        self.assertTrue(cuts)
        self.assertTrue(all(2 <= fault.count < plan.instances for plan, fault in cuts))

    def test_isolation_leaves_one_instance(self) -> None:
        """Guards against runs in which no instance is cut, or all are, so that nothing is compared."""
        for seed in range(20):
            plan = create_plan(seed, has_isolation=True)
            counts = [f.count for f in plan.faults if f.kind is FaultKind.ISOLATION]
            self.assertTrue(counts)
            self.assertTrue(all(1 <= count < plan.instances for count in counts))


class LinkTest(unittest.TestCase):
    def exchange(self, mode: LinkMode) -> bytes:
        """Return the first line of an echo server's response through a link, or how it failed."""

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
                    return (await reader.read(100)).partition(b"\r\n")[0]
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
        """Guards against link modes that have no effect, so that faults aren't injected."""
        expected = {
            LinkMode.OPEN: b"echo x",
            LinkMode.DELAY: b"echo x",
            LinkMode.RESET: b"reset",
            LinkMode.SILENT: b"silent",
            LinkMode.ONE_WAY: b"silent",
            LinkMode.UNAVAILABLE: b"HTTP/1.1 503 Service Unavailable",
        }
        self.assertEqual({mode: self.exchange(mode) for mode in LinkMode}, expected)


class InvariantCheckerTest(unittest.TestCase):
    """Records that violate one invariant each, which the checker must report."""

    def find_broken_invariants(self, call: Call, *runs: str, **changes: object) -> set[str]:
        """Return the invariants that are violated by a call that ran at the named runners."""
        run_record = {
            "path": changes.get("path", call.path),
            "body": call.attempt_id,
            "headers": {"attempt-id": call.attempt_id, "tenant": "blue"},
            "at_s": 10.0,
        }
        retired = SimpleNamespace(name="old", draining_s=5.0)
        idle = SimpleNamespace(
            name="llm-1",
            process=SimpleNamespace(
                state=lambda: {"reserved": changes.get("reserved", {}), "working": 0}
            ),
        )
        fleet = SimpleNamespace(
            runs=lambda: [(name, run_record) for name in runs],
            senders=lambda attempt_id: {0},
            is_isolated=lambda *period: changes.get("is_isolated", False),
            disturbances=changes.get("disturbances", []),
            changes=Changes(
                revoked=changes.get("revoked", {}), evacuations=changes.get("evacuations", [])
            ),
            retired=[retired],
            runners=[idle],
            instances=[
                SimpleNamespace(events=lambda name: changes.get(name, []))
                for _ in range(changes.get("instances", 1))
            ],
        )
        return set(count_by_invariant(InvariantChecker(fleet, [call], 10.0).find_violations()))

    def call(self, **values: object) -> Call:
        fields = {"attempt_id": "a1", "route": "read", "path": "/read/x", "key": "k"}
        fields |= {
            "instance": 0,
            "is_connection_reused": False,
            "sent_s": 9.0,
            "ended_s": 9.1,
            "outcome": 200,
        }
        fields |= {"headers": {"server-stamp": "s", "attempt-id": "a1"}, "body": b"answer of s"}
        return Call(**{**fields, "is_complete": True, **values})

    def test_good_call(self) -> None:
        self.assertEqual(self.find_broken_invariants(self.call(), "s"), set())
        stream = self.call(route="stream", body=STREAM_BODY)
        self.assertEqual(self.find_broken_invariants(stream, "s"), set())

    def test_wrong_answers(self) -> None:
        """Guards against incomplete, mixed-up or unsigned responses that count as success."""
        wrong = (
            self.call(body=b"answer"),
            self.call(route="stream", body=STREAM_BODY[:-5]),
            self.call(headers={"server-stamp": "s", "attempt-id": "a2"}),
            self.call(headers={"attempt-id": "a1"}, body=b"answer of "),
        )
        for call in wrong:
            self.assertEqual(self.find_broken_invariants(call, "s"), {"MIXED"}, call)
        self.assertIn("MIXED", self.find_broken_invariants(self.call()))

    def test_evacuations(self) -> None:
        """Guards against undetected runs in an evacuated data centre."""
        cases = {(5.0, 12.0): {"EVAC"}, (8.0, 12.0): set(), (2.0, 9.9): set()}
        for period, expected in cases.items():
            call = self.call(
                body=b"answer of llm-2", headers={"server-stamp": "llm-2", "attempt-id": "a1"}
            )
            found = self.find_broken_invariants(call, "llm-2", evacuations=[period])
            self.assertEqual(found, expected, period)
        self.assertEqual(
            self.find_broken_invariants(self.call(), "s", evacuations=[(5.0, 12.0)]), set()
        )

    def test_held_up_requests(self) -> None:
        """Guards against late runs that count although the cut of a link has held them up."""
        call = self.call(body=b"answer of old", headers={"server-stamp": "old", "attempt-id": "a1"})
        for is_isolated, expected in ((False, {"DRAIN"}), (True, set())):
            found = self.find_broken_invariants(call, "old", is_isolated=is_isolated)
            self.assertEqual(found, expected)

    def test_isolated_instances(self) -> None:
        """Guards against an undetected difference between isolated instances and the others."""
        cut = Disturbance("upstreams of instance 0", FaultKind.ISOLATION, 10.0, 20.0)
        kill = Disturbance("instance 0", FaultKind.INSTANCE_KILL, 12.0, 13.0)
        cases = (
            (40, 13.5, (cut,), True),
            (10, 13.5, (cut,), False),  # As many as may fail.
            (40, 12.5, (cut,), False),  # Sent too soon after the begin of the cut.
            (40, 20.5, (cut,), False),
            (40, 13.5, (cut, kill), False),
        )
        for failed, sent_s, faults, expected in cases:
            calls = [
                self.call(
                    instance=n % 2, sent_s=sent_s, ended_s=sent_s, outcome=200 if n % 2 else 503
                )
                for n in range(2 * failed)
            ]
            fleet = SimpleNamespace(
                runs=list, disturbances=faults, changes=SimpleNamespace(revoked={})
            )
            checker = InvariantChecker(fleet, calls, 30.0)
            found = count_by_invariant(checker.find_recovery_faults())
            self.assertEqual(found["RECOVER"] > 0, expected, (failed, sent_s, faults))

    def test_runs(self) -> None:
        """Guards against undetected runs: twice, unrequested, too many or despite a refusal."""
        self.assertEqual(self.find_broken_invariants(self.call(route="once"), "s", "t"), {"TWICE"})
        self.assertEqual(self.find_broken_invariants(self.call(), "s", "t", "u"), {"BUDGET"})
        self.assertIn("REFUSED", self.find_broken_invariants(self.call(outcome=503), "s"))
        self.assertEqual(self.find_broken_invariants(self.call(), "s", path="/other"), {"UNASKED"})
        self.assertEqual(self.find_broken_invariants(self.call(), "s", "old"), {"DRAIN"})

    def test_time_and_cuts(self) -> None:
        """Guards against undetected late requests, and requests cut by planned operations."""
        self.assertIn(
            "TIME", self.find_broken_invariants(self.call(outcome="no answer", is_complete=False))
        )
        self.assertIn("TIME", self.find_broken_invariants(self.call(ended_s=13.5), "s"))
        cut = self.call(outcome="closed: reset", is_complete=False)
        self.assertIn("LOST", self.find_broken_invariants(cut, "s"))
        fault = Disturbance("runner s", FaultKind.RUNNER_KILL, 8.0, 8.5)
        self.assertNotIn("LOST", self.find_broken_invariants(cut, "s", disturbances=[fault]))
        stop = Disturbance("instance 0", FaultKind.INSTANCE_STOP, 8.0, 9.5)
        self.assertIn("LOST", self.find_broken_invariants(cut, "s", disturbances=[stop]))

    def test_store_links(self) -> None:
        """Guards against a turned away instance that is excused although another one is served."""
        cut = Disturbance("instance 0", FaultKind.STORE_LINKS, 8.0, 9.5)
        kill = Disturbance("instance 0", FaultKind.INSTANCE_KILL, 8.0, 9.5)
        other = Disturbance("instance 1", FaultKind.INSTANCE_STOP, 8.0, 9.5)
        outage = Disturbance("store", FaultKind.STORE_FAULT, 8.0, 8.5)
        served = self.call(
            body=b"answer of llm-2", headers={"server-stamp": "llm-2", "attempt-id": "a1"}
        )
        refused = self.call(outcome=503, body=b'{"error":{"code":"outdated_configuration"}}')
        cases = (
            ((), True, True),
            ((cut,), True, False),
            ((cut, other), False, False),
            ((cut, kill), False, False),
            ((cut, outage), False, False),
        )
        for faults, *is_found in cases:
            for number, expected in zip((2, 1), is_found, strict=True):
                changes = {"instances": number, "disturbances": list(faults)}
                changes |= {"revoked": {"k": 5.0}, "evacuations": [(5.0, 12.0)]}
                found = self.find_broken_invariants(served, "llm-2", **changes)
                self.assertEqual({"CONFIG", "EVAC"} <= found, expected, (faults, number))
                found = self.find_broken_invariants(refused, **changes)
                self.assertEqual("DENIED" in found, expected, (faults, number))

    def test_configuration_and_leftovers(self) -> None:
        """Guards against undetected use of revoked keys, leaked memory and failed handlers."""
        found = self.find_broken_invariants(self.call(), "s", revoked={"k": 2.0})
        self.assertLessEqual({"CONFIG"}, found)
        self.assertIn("LEAK", self.find_broken_invariants(self.call(), "s", reserved={"t": 1}))
        self.assertIn(
            "LOG", self.find_broken_invariants(self.call(), "s", handler_failed=[{"text": "x"}])
        )
        self.assertIn("RECOVER", self.find_broken_invariants(self.call(outcome=504)))


if __name__ == "__main__":
    unittest.main()
