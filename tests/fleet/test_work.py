"""How an instance learns what all others have in flight before it chooses an upstream.

The load pattern is a deployment of hundreds of instances with about a request a second each, in which
a mesh of all with all takes more time than the requests.
"""

import unittest
from types import SimpleNamespace

from ibispaddle_core.scheduling import AttemptCounts, FleetAttempts, PeerWork, UpstreamWork
from ibispaddle_core.scheduling.retries import WINDOW_MS
from ibispaddle_daemon.fleet.messages import WorkQuery, WorkUpdate
from ibispaddle_daemon.fleet.work import (
    BATCH_DELAY_MS,
    MAX_CONSECUTIVE_TIMEOUTS,
    QUERY_TIMEOUT_MS,
    RESEND_INTERVAL_MS,
    REVIEW_INTERVAL_MS,
    WorkExchange,
)

from .fakes import Network


class Forwarder:
    """Stand for the forwarder: it has work, and takes the picture of the others' work."""

    def __init__(self, name: str) -> None:
        self.work: dict[str, UpstreamWork] = {}
        self.picture: PeerWork | None = None
        self.has_waiting_requests = False
        self.looks = 0
        own_work = lambda instance, now_ms: PeerWork(name, dict(self.work))  # noqa: E731
        self.scheduler = SimpleNamespace(own_work=own_work, attempt_totals=AttemptCounts())
        self.attempts: FleetAttempts | None = None

    def update_fleet_work(self, work: PeerWork, attempts: FleetAttempts) -> None:
        self.picture, self.attempts = work, attempts

    def schedule_waiting(self) -> None:
        self.looks += 1


class WorkExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network("abcdef")
        self.forwarders = {name: Forwarder(name) for name in "abcdef"}
        self.exchanges = {
            name: WorkExchange(
                name,
                forwarder,
                self.network.ranking(name),
                self.network.links[name],
                self.network.clock,
                self.network.timers,
            )
            for name, forwarder in self.forwarders.items()
        }

    def choose(self, name: str) -> list[int]:
        """Ask for the picture and return the times at which the choice is made."""
        chosen: list[int] = []
        now_ms = self.network.clock.now_ms
        self.exchanges[name].refresh(lambda: chosen.append(now_ms()))
        return chosen

    def dispatch(self, name: str, upstream_id: str) -> None:
        self.forwarders[name].work = {upstream_id: UpstreamWork(50.0, 1, 5_000)}
        self.forwarders[name].on_work_changed(True)

    def asked(self, name: str) -> list[str]:
        sent = self.network.links[name].sent
        return [hub for hub, message in sent if isinstance(message, WorkQuery)]

    def test_work_of_an_instance_is_known_to_the_next_choice_anywhere(self) -> None:
        """Guards against two instances that choose one engine in the same second."""
        self.dispatch("e", "r1")
        self.assertEqual(len(self.choose("f")), 1)
        self.assertEqual(self.forwarders["f"].picture.work["r1"].requests, 1)
        self.assertEqual(len(self.choose("e")), 1)
        self.assertEqual(self.forwarders["e"].picture.work, {})

    def test_messages_of_a_request_do_not_grow_with_the_fleet(self) -> None:
        """Guards against messages to hundreds of instances for each request."""
        self.choose("f")
        self.dispatch("f", "r1")
        self.assertEqual([hub for hub, _ in self.network.links["f"].sent], ["a", "a", "b"])

    def test_hub_chooses_by_its_own_board(self) -> None:
        """Guards against a hub that is blind because it asks nobody."""
        self.dispatch("f", "r1")
        for hub in "ab":
            self.assertEqual(len(self.choose(hub)), 1)
            self.assertIn("r1", self.forwarders[hub].picture.work)

    def test_silent_hub_delays_a_request_little(self) -> None:
        """Guards against requests that wait for a hub that is frozen, slow or cut off."""
        self.network.silent.add("a")
        chosen = self.choose("f")
        self.network.timers.advance(QUERY_TIMEOUT_MS)
        self.assertEqual(chosen, [QUERY_TIMEOUT_MS])

    def test_second_hub_knows_the_fleet_when_the_first_one_dies(self) -> None:
        """Guards against instances that are blind until all have told a new hub their work."""
        self.dispatch("e", "r1")
        self.network.silent.add("a")
        for _ in range(MAX_CONSECUTIVE_TIMEOUTS):
            self.choose("f")
            self.network.timers.advance(QUERY_TIMEOUT_MS)
        self.assertEqual(self.network.links["f"].dropped, ["a"])
        self.assertEqual(len(self.choose("f")), 1)
        self.assertIn("r1", self.forwarders["f"].picture.work)
        self.assertEqual(self.asked("f")[-1], "b")

    def test_instance_that_reaches_nobody_decides_by_itself(self) -> None:
        """Guards against an instance behind a partition that answers nobody."""
        self.network.refusing.update("abcde")
        for _ in range(20):
            self.assertEqual(len(self.choose("f")), 1)

    def test_ended_work_is_told_together(self) -> None:
        """Guards against a message for each event of each stream."""
        self.dispatch("f", "r1")
        self.network.links["f"].sent.clear()
        self.forwarders["f"].work = {}
        for _ in range(5):
            self.forwarders["f"].on_work_changed(False)
        self.network.timers.advance(BATCH_DELAY_MS)
        told = [item for _, item in self.network.links["f"].sent if isinstance(item, WorkUpdate)]
        self.assertEqual(len(told), 2)
        self.choose("e")
        self.assertEqual(self.forwarders["e"].picture.work, {})

    def test_long_work_is_not_forgotten(self) -> None:
        """Guards against a long prompt whose engines count as idle after a second."""
        self.dispatch("f", "r1")
        for _ in range(5):
            self.network.timers.advance(RESEND_INTERVAL_MS + REVIEW_INTERVAL_MS)
            self.choose("e")
            self.assertIn("r1", self.forwarders["e"].picture.work)

    def test_waiting_requests_see_that_there_is_room(self) -> None:
        """Guards against requests that wait for slots which another instance has freed."""
        self.forwarders["f"].has_waiting_requests = True
        self.choose("f")
        self.network.timers.advance(500)
        self.assertGreater(self.forwarders["f"].looks, 5)
        self.forwarders["f"].has_waiting_requests = False
        self.network.timers.advance(500)
        looks = self.forwarders["f"].looks
        self.network.timers.advance(500)
        self.assertEqual(self.forwarders["f"].looks, looks)

    def test_late_picture_serves_the_next_choice(self) -> None:
        """Guards against a slow hub whose answers are all thrown away."""
        self.network.silent.add("a")
        self.choose("f")
        query_id = self.network.links["f"].sent[-1][1].query_id
        self.network.timers.advance(QUERY_TIMEOUT_MS)
        self.network.silent.clear()
        self.dispatch("e", "r1")
        self.network.deliver("f", "a", WorkQuery(query_id))
        self.assertIn("r1", self.forwarders["f"].picture.work)

    def test_instances_that_choose_at_the_same_time_know_their_turn(self) -> None:
        """Guards against all instances that take the one upstream which is best in the same picture."""
        turns = {}
        for name in "cdef":
            self.exchanges[name].refresh(lambda: None, "m")
            turns[name] = self.forwarders[name].picture.turn
        self.assertEqual(turns, {"c": 0, "d": 1, "e": 2, "f": 3})
        self.dispatch("c", "r1")
        self.network.timers.advance(5)
        self.exchanges["c"].refresh(lambda: None, "m")
        self.assertEqual(self.forwarders["c"].picture.turn, 3)
        self.network.timers.advance(20)
        self.exchanges["c"].refresh(lambda: None, "m")
        self.assertEqual(self.forwarders["c"].picture.turn, 0)

    def test_choices_of_another_service_count_for_nothing(self) -> None:
        """Guards against calls of a plain service that avoid its best upstream for a model's prompts."""
        self.exchanges["e"].refresh(lambda: None, "m")
        self.exchanges["f"].refresh(lambda: None, "shop")
        self.assertEqual(self.forwarders["f"].picture.turn, 0)

    def test_retries_of_the_others_are_known_before_a_retry(self) -> None:
        """Guards against hundreds of instances that each use the retries of all."""
        self.dispatch("e", "r1")
        self.network.timers.advance(WINDOW_MS)
        self.forwarders["e"].scheduler.attempt_totals = AttemptCounts(4, 3)
        self.dispatch("e", "r2")
        for name in "fa":
            self.choose(name)
            self.assertEqual(
                self.forwarders[name].attempts, FleetAttempts(AttemptCounts(4, 3), 6), name
            )


if __name__ == "__main__":
    unittest.main()
