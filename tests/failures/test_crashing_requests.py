"""A request that crashes its engine crashes at most two engines, however often it is resent."""

import time
from dataclasses import replace

from ibispaddle_bench.fleet import MODEL
from ibispaddle_bench.processes import call_json

from tests.support.entries import runner_entry
from tests.support.http import metric
from tests.support.supervised import SupervisedStandIn
from tests.support.waiting import wait_until

from .scripted_engine import ScriptedEngine, publish_scripted_engines
from .support import FAST_SETTINGS, FleetTest, ModelCall

MARKER = "kraschar-motorn"
MAX_CRASHED_ENGINES = 2
RESEND_COUNT = 5


class CrashingRequestTest(FleetTest):
    """The engines exit when they compute a prompt with the marker."""

    SPEC = replace(
        FleetTest.SPEC,
        entries=3,
        runners=6,
        engine_options=("--crash-marker", MARKER),
        instance_settings=FAST_SETTINGS,
    )
    FLEET_PER_TEST = True

    def crashed_engines(self) -> list[str]:
        """Return the names of the engines that aren't running."""
        return [runner.name for runner in self.fleet.runners if not runner.running]

    def send(self, number: int, stream: bool = True) -> ModelCall:
        """Send the crashing request to one of the instances, in turn, and wait for its end."""
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        prompt = f"Draft a motif. {MARKER}"
        return ModelCall(entry, prompt=prompt, tokens=40, timeout_ms=8_000, stream=stream).wait()

    def check_resends(self, stream: bool = True, restart: bool = False) -> None:
        """Resend the request and check the number of crashes and that the fleet still serves."""
        crashed_engines = []
        for number in range(1 + RESEND_COUNT):
            call = self.send(number, stream)
            self.assert_answer_valid(call)
            self.assertFalse(call.is_end_received)
            time.sleep(0.1)  # An engine exits shortly after it has sent its last tokens.
            crashed_engines = (
                [*crashed_engines, *self.crashed_engines()] if restart else self.crashed_engines()
            )
            self.assertLessEqual(
                len(crashed_engines),
                MAX_CRASHED_ENGINES,
                f"after {number} resends: {crashed_engines}",
            )
            if restart:
                self.restart_engines()
        self.assertGreater(len(crashed_engines), 0, "no engine crashed, so nothing was tested")
        refused = self.send(0, stream)
        self.assertEqual((refused.status, refused.run_state), (422, "not_run"), refused.describe())
        for entry in self.fleet.entries:
            wait_until(
                lambda e=entry: ModelCall(e).wait().is_complete, "response to another prompt"
            )

    def restart_engines(self) -> None:
        """Restart the crashed engines on their previous addresses."""
        for index, runner in enumerate(self.fleet.runners):
            if not runner.running:
                self.fleet.restart_runner(index)

    def test_crash_before_the_first_token(self):
        """Guard against a request whose retries crash one engine after another."""
        self.check_resends()

    def test_crash_in_the_stream(self):
        """Guard against a caller whose resent requests crash one engine after another."""
        for runner in self.fleet.runners:
            runner.set_faults(crash_after_tokens=5)
        self.check_resends()

    def test_crash_of_restarted_engines(self):
        """Guard against a request without streaming that crashes each engine after its restart."""
        self.check_resends(stream=False, restart=True)

    def test_crash_while_the_log_is_down(self):
        """Guard against suspects that reach other instances only through the log."""
        self.fleet.log.kill()
        self.check_resends()

    def test_unrelated_requests_of_a_crashed_engine(self):
        """Guard against a quarantine of other requests in flight at a crashed engine."""
        # The crashing request goes to the least loaded engine. With this many requests hardly any
        # engine is without one.
        unrelated_prompts = [f"innocent {n}" for n in range(48)]
        calls = [
            ModelCall(self.fleet.entries[n % 3], prompt=prompt, tokens=240, timeout_ms=15_000)
            for n, prompt in enumerate(unrelated_prompts)
        ]
        for call in calls:
            call.wait_for_tokens()
        self.send(0)
        cut = [call.prompt for call in calls if not call.wait().is_end_received]
        self.assertTrue(cut, "no other request was in flight at a crash")
        for number, prompt in enumerate(cut):
            entry = self.fleet.entries[number % 3]
            wait_until(
                lambda e=entry, p=prompt: ModelCall(e, prompt=p, tokens=120).wait().is_complete,
                "response to another prompt",
            )


class CrashingPartTest(FleetTest):
    """The engines exit when they compute a prompt with one message; no two requests are alike."""

    SPEC = replace(
        FleetTest.SPEC,
        entries=3,
        runners=8,
        engine_options=("--crash-marker", MARKER),
        instance_settings=FAST_SETTINGS,
    )
    FLEET_PER_TEST = True
    MAX_CRASHED_ENGINES = 5

    def send(self, number: int, context: str) -> ModelCall:
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        return ModelCall(entry, prompt=f"Draft {number}.", context=context, timeout_ms=8_000).wait()

    def test_part_of_different_requests(self):
        """Guard against requests of one kind that crash one engine after the other."""
        deadly = f"Use the archive. {MARKER}"
        calls = []
        for number in range(12):
            calls.append(self.send(number, deadly))
            if calls[-1].status == 422:
                break
            time.sleep(0.3)
        crashed = [runner.name for runner in self.fleet.runners if not runner.running]
        self.assertLessEqual(len(crashed), self.MAX_CRASHED_ENGINES, crashed)
        self.assertEqual((calls[-1].status, calls[-1].run_state), (422, "not_run"))
        for number in range(len(self.fleet.entries)):
            refused = self.send(100 + number, deadly)
            self.assertEqual((refused.status, refused.run_state), (422, "not_run"))
            wait_until(
                lambda n=number: self.send(200 + n, "Use the catalogue.").is_complete,
                "response to a prompt with another context",
            )


class SlowCrashTest(FleetTest):
    """Engines stop listening some time before the connection of the crashing request closes."""

    SPEC = replace(FleetTest.SPEC, entries=2, runners=0, instance_settings=FAST_SETTINGS)
    FLEET_PER_TEST = True

    def test_probe_detects_the_crash_first(self):
        """Guard against a crash that isn't counted because a failed probe cancelled the attempt."""

        def stop_listening_then_close(engine, conn, path, request_id, body) -> bool:
            engine.runs += 1
            engine.close(keep=conn)
            time.sleep(1.5)
            return False

        engines = [ScriptedEngine(f"runner.{n}", stop_listening_then_close) for n in range(6)]
        for engine in engines:
            self.addCleanup(engine.close)
        publish_scripted_engines(self.fleet, *engines)
        for entry in self.fleet.entries:
            wait_until(
                lambda e=entry: metric(e, "ibispaddle_runners_live") == len(engines), "live engines"
            )
        for number in range(3):
            call = ModelCall(self.fleet.entries[number % 2], timeout_ms=8_000, stream=False).wait()
            self.assert_answer_valid(call)
            runs = sum(engine.runs for engine in engines)
            self.assertLessEqual(
                runs, MAX_CRASHED_ENGINES, f"after {number} resends: {call.describe()}"
            )
        self.assertEqual((call.status, call.run_state), (422, "not_run"), call.describe())


class SlowlyRestartedEngine(SupervisedStandIn):
    """An engine whose next process starts later than a check of whether it is running waits."""

    RESTART_DELAY_S = 1.0


class SupervisedEnginesTest(FleetTest):
    """A supervisor accepts connections while no engine process runs, and the next one serves them."""

    SPEC = replace(FleetTest.SPEC, entries=2, runners=0, instance_settings=FAST_SETTINGS)
    FLEET_PER_TEST = True
    RUNNERS = 4

    def test_crash_without_a_refused_connection(self):
        """Guard against crashes that aren't counted because no connection is ever refused."""
        engines = []
        for _ in range(self.RUNNERS):
            engines.append(SlowlyRestartedEngine("engine", True, crash_marker=MARKER))
            self.addCleanup(engines[-1].close)
        entries = [
            runner_entry(f"runner.{n}", engine.address, model=MODEL, data_centre="dc.1")
            for n, engine in enumerate(engines)
        ]
        url = f"{self.fleet.instance_list.url}/admin/entries"
        call_json(url, {"entries": entries}, method="PUT")
        for entry in self.fleet.entries:
            wait_until(
                lambda e=entry: metric(e, "ibispaddle_runners_live") == self.RUNNERS, "live engines"
            )
        crashes: list[int] = []
        for number in range(1 + RESEND_COUNT):
            entry = self.fleet.entries[number % 2]
            prompt = f"Draft a motif. {MARKER}"
            call = ModelCall(entry, prompt=prompt, timeout_ms=8_000, stream=False).wait()
            self.assert_answer_valid(call)
            time.sleep(3.0)
            crashes.append(sum(engine.crashes for engine in engines))
            # The attempts of the first request end before the first crash is proved.
            bound = max(crashes[0], MAX_CRASHED_ENGINES)
            self.assertLessEqual(crashes[-1], bound, crashes)
        self.assertEqual((call.status, call.run_state), (422, "not_run"), call.describe())
        wait_until(lambda: ModelCall(self.entry).wait().is_complete, "response to another prompt")


class PeerCrashReportTest(FleetTest):
    """The instances hardly probe, so that they learn of a crash only from another instance."""

    SPEC = replace(
        FleetTest.SPEC,
        entries=2,
        runners=4,
        engine_options=("--crash-marker", MARKER),
        instance_settings={"list_poll_interval_ms": 200, "probe_interval_ms": 60_000},
    )
    FLEET_PER_TEST = True

    def test_other_instances_avoid_the_crashed_engine(self):
        """Guard against attempts on an engine whose crash another instance has reported."""
        first, second = self.fleet.entries
        prompt = f"Draft a motif. {MARKER}"
        self.assertFalse(ModelCall(first, prompt=prompt, timeout_ms=3_000).wait().is_end_received)
        crashed = [runner for runner in self.fleet.runners if not runner.running]
        self.assertTrue(crashed, "no engine crashed, so nothing was tested")
        before = metric(second, "ibispaddle_attempts_total")
        calls = [ModelCall(second, prompt=f"innocent {n}") for n in range(24)]
        self.assertTrue(all(call.wait().is_complete for call in calls))
        self.assertEqual(metric(second, "ibispaddle_attempts_total") - before, len(calls))
