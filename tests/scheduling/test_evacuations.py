"""Tests of evacuated data centres: what their callers get, and what happens to work in progress."""

import unittest

from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    AttemptEnded,
    CancelAttempt,
    Dispatch,
    EvacuationsChanged,
    FirstToken,
    FreeMemory,
    Outcome,
    RefusalReason,
    Refuse,
    RequestArrived,
    ReservationAnswered,
    ReservationOutcome,
    ReserveMemory,
    RetryPolicy,
    Scheduler,
    Tick,
    Upstream,
    UpstreamResponded,
    UpstreamsChanged,
    UpstreamState,
)
from ibispaddle_core.scheduling.evacuations import EVACUATED_RETRY_AFTER_MS, count_running

from .fakes import request
from .test_least_work import config

PER_DATA_CENTRE = 3
BACKOFF_MS = 60


def listed(*data_centres: str, **changes: object) -> UpstreamsChanged:
    return UpstreamsChanged(
        tuple(
            Upstream(f"{name}-{number}", name, ("m",), **changes)
            for name in data_centres
            for number in range(PER_DATA_CENTRE)
        )
    )


def data_centre(upstream_id: str) -> str:
    return upstream_id.split("-")[0]


class EvacuationFixture(unittest.TestCase):
    def setUp(self) -> None:
        self.start()

    def start(self, *data_centres: str, **model: object) -> None:
        cfg = config(retry_floor=30)
        cfg = cfg.replace(models={**cfg.models, "m": cfg.models["m"].replace(**model)})
        self.scheduler = Scheduler.from_config(cfg, 1, "boot-1")
        self.now_ms = self.sent = 0
        self.handle(listed(*data_centres or ("a", "b", "c")))

    def handle(self, event: object) -> list:
        return self.scheduler.handle(event, self.now_ms)

    def evacuate(self, *data_centres: str) -> list:
        return self.handle(EvacuationsChanged(frozenset(data_centres)))

    def send(self, request_id: str, **values: object) -> list:
        return self.handle(RequestArrived(request(request_id, arrived_ms=self.now_ms, **values)))

    def used(self, decisions: list) -> set[str]:
        """Return the data centres that get a request, a part of one or a reservation."""
        names: list[str] = []
        for decision in decisions:
            match decision:
                case Dispatch():
                    names += [decision.upstream_id, *decision.helper_ids]
                    names += decision.segment_upstream_ids
                case ReserveMemory(_, upstream_id):
                    names.append(upstream_id)
        return {data_centre(name) for name in names}

    def fill(self, count: int = 20) -> list:
        """Send short requests that keep running, and return the decisions."""
        self.sent += count
        names = [f"fill-{number}" for number in range(self.sent - count, self.sent)]
        return [decision for name in names for decision in self.send(name)]


class NewRequestTest(EvacuationFixture):
    def test_callers_are_served_by_the_other_data_centres(self) -> None:
        """Answers a data centre that is emptied under load: its share goes to the others."""
        self.assertEqual(self.used(self.fill()), {"a", "b", "c"})
        self.evacuate("b")
        self.assertEqual(self.used(self.fill()), {"a", "c"})

    def test_several_at_once_and_taken_back(self) -> None:
        """Answers two evacuations at once of which one ends, while callers keep coming."""
        self.evacuate("b", "c")
        self.assertEqual(self.used(self.fill()), {"a"})
        self.evacuate("c")
        self.assertEqual(self.used(self.fill()), {"a", "b"})
        self.evacuate()
        self.assertIn("c", self.used(self.fill()))

    def test_all_at_once_are_refused_at_once(self) -> None:
        """Answers an evacuation of every data centre: callers learn at once that nothing ran."""
        self.evacuate("a", "b", "c")
        expected = Refuse("r", RefusalReason.EVACUATED, RunState.NOT_RUN, EVACUATED_RETRY_AFTER_MS)
        self.assertEqual(self.send("r"), [expected])

    def test_waiting_requests_are_refused_with_the_last_data_centre(self) -> None:
        """Answers a full fleet that is evacuated: waiting callers do not wait for their deadlines."""
        self.start("a", upstream_slots=1)
        decisions = self.fill(12)
        running = {d.request_id for d in decisions if isinstance(d, Dispatch)}
        self.assertEqual(len(running), PER_DATA_CENTRE)
        refused = self.evacuate("a")
        self.assertEqual({d.reason for d in refused}, {RefusalReason.EVACUATED})
        self.assertEqual({d.run_state for d in refused}, {RunState.NOT_RUN})
        self.assertEqual(len(refused), 12 - PER_DATA_CENTRE)
        self.assertEqual(self.scheduler.active, PER_DATA_CENTRE)

    def test_waiting_requests_are_served_when_it_ends(self) -> None:
        """Answers callers that wait in a full fleet: the restored upstreams serve them at once."""
        self.start("a", "b", upstream_slots=1)
        self.evacuate("b")
        self.fill(2 * PER_DATA_CENTRE)
        self.assertEqual(self.used(self.evacuate()), {"b"})

    def test_prompt_that_needs_more_engines_than_are_left(self) -> None:
        """Answers a long prompt that only the whole fleet can hold: it may come back later."""
        prompt = 1_000_000  # Five engines' memory; one data centre has three engines.
        self.start("a", "b", context_tokens=10_000_000)
        self.evacuate("b")
        [refusal] = self.send("long", prompt_tokens=prompt)
        self.assertEqual(refusal.reason, RefusalReason.EVACUATED)
        [refusal] = self.send("longer", prompt_tokens=4 * prompt)
        self.assertEqual((refusal.reason, refusal.retry_after_ms), (RefusalReason.TOO_LARGE, 0))

    def test_requests_with_a_home_that_is_evacuated(self) -> None:
        """Answers callers whose only data centre is evacuated: no other one may serve them."""
        self.evacuate("b")
        [refusal] = self.send("home", data_centres=frozenset({"b"}))
        self.assertEqual(refusal.reason, RefusalReason.EVACUATED)
        self.assertEqual(self.used(self.send("other", data_centres=frozenset({"c"}))), {"c"})


class WorkInProgressTest(EvacuationFixture):
    def test_running_streams_are_left_alone(self) -> None:
        """Guards against streams that are cut by an evacuation."""
        decisions = self.fill(20)
        for decision in decisions[::2]:
            self.handle(FirstToken(decision.request_id))
        self.assertEqual(self.evacuate("a", "b", "c"), [])
        views = self.scheduler.runners.views.values()
        self.assertEqual(count_running(views, {"a", "b", "c"}), 20)
        for decision in decisions:
            self.handle(AttemptEnded(decision.request_id, decision.upstream_id, Outcome.COMPLETED))
        self.assertEqual(count_running(views, {"a", "b", "c"}), 0)
        self.assertEqual(self.scheduler.active, 0)

    def test_retries_and_resumed_streams_go_elsewhere(self) -> None:
        """Answers upstreams that fail during an evacuation: their requests are retried elsewhere."""
        sent = [
            decision
            for number in range(15)
            for decision in self.send(f"r{number}", retry_policy=RetryPolicy.ANY_TIME)
        ]
        self.evacuate("a", "b")
        for decision in sent:
            self.handle(FirstToken(decision.request_id))
            if data_centre(decision.upstream_id) != "c":
                ended = AttemptEnded(
                    decision.request_id, decision.upstream_id, Outcome.NOT_SENT, True
                )
                self.assertEqual(self.used(self.handle(ended)), {"c"})

    def test_reservations_in_progress_move(self) -> None:
        """Answers a long prompt whose group is not complete: it gets another group at once."""
        self.start("a", "b", "c", "d")
        decisions = self.send("long", prompt_tokens=600_000)
        first = next(d for d in decisions if isinstance(d, ReserveMemory))
        granted = ReservationAnswered(
            "long", first.upstream_id, first.handle, ReservationOutcome.GRANTED
        )
        decisions += self.handle(granted)
        group = self.used(decisions)
        left = sorted(group)[0]
        reserved = {d.upstream_id for d in decisions if isinstance(d, ReserveMemory)}
        decisions = self.evacuate(left)
        freed = {d.upstream_id for d in decisions if isinstance(d, FreeMemory)}
        self.assertLessEqual({first.upstream_id}, freed)
        self.assertLessEqual(freed, reserved)
        self.now_ms += BACKOFF_MS
        moved = self.used(decisions + self.handle(Tick()))
        self.assertTrue(moved)
        self.assertNotIn(left, moved)

    def test_helpers_are_not_taken_from_the_data_centre(self) -> None:
        """Answers long prompts with joint prefill: no part is read in the evacuated data centre."""

        def read_long_prompt() -> set[str]:
            [dispatch] = self.send("long", prompt_tokens=133_000, ttft_objective_ms=1_000)
            self.assertTrue(dispatch.helper_ids)
            return self.used([dispatch])

        left = sorted(read_long_prompt())[0]
        self.start()
        self.evacuate(left)
        self.assertNotIn(left, read_long_prompt())


class ListTest(EvacuationFixture):
    def test_upstreams_that_are_listed_later(self) -> None:
        """Guards against upstreams of the data centre that return, or are added, and get work."""
        self.start("a")
        self.evacuate("b")
        self.handle(listed("a", "b"))
        self.assertEqual(self.used(self.fill()), {"a"})

    def test_unknown_name_changes_nothing(self) -> None:
        """Guards against a misspelt data centre that affects others."""
        self.evacuate("d")
        self.assertEqual(self.used(self.fill()), {"a", "b", "c"})

    def test_upstream_that_leaves_meanwhile(self) -> None:
        """Guards against an upstream that states that it leaves, and gets work after the evacuation."""
        self.start("a", "b")
        self.evacuate("b")
        for number in range(PER_DATA_CENTRE):
            self.handle(UpstreamResponded(f"b-{number}", is_leaving=True))
        self.evacuate()
        self.assertEqual(self.used(self.fill()), {"a"})

    def test_upstream_that_is_down_stays_down(self) -> None:
        """Guards against attempts at a dead upstream that an evacuation hides from the retries."""
        self.start("a", "b")
        sent = [d for d in self.fill(20) if data_centre(d.upstream_id) == "b"]
        self.evacuate("b")
        decisions = self.handle(
            UpstreamsChanged(
                (*listed("a").upstreams, *listed("b", state=UpstreamState.DOWN).upstreams)
            )
        )
        cancelled = {d.request_id for d in decisions if isinstance(d, CancelAttempt)}
        self.assertEqual(cancelled, {d.request_id for d in sent})

    def test_nothing_changes_without_an_evacuation(self) -> None:
        """Guards against a feature that acts unasked: equal decisions with and without the event."""
        plain = self.fill()
        self.start()
        self.assertEqual(self.evacuate(), [])
        self.assertEqual(self.fill(), plain)


if __name__ == "__main__":
    unittest.main()
