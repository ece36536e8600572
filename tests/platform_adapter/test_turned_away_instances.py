"""Tests of instances that the store turns away while it serves others.

Versions of the configuration come all the time; each moves one route to another service, and adds or
drops another route. Callers send requests to all instances, and the runs at the services show which
version of a route an instance used.
"""

import contextlib
import http.client
import itertools
import random
import signal
import threading
import time
import unittest
from collections import Counter
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from ibispaddle_core.membership.hashing import rendezvous_score

from tests.soak.links import LinkMode
from tests.support.waiting import wait_until

from .processes import Instance, Platform, configuration, route
from .store_links import StoreLinks

INSTANCES = 4
REVOKE_S = 4.0
IN_FORCE_S = 2.0
# A route changes again after this number of versions, when the last change has long been in force.
ROUTES = 12
VERSION_GAPS_S = (0.3, 0.5)
# Time between two requests of a caller, and number of callers of each instance.
PAUSE_S = 0.03
CALLERS = 2
# Longer than an instance accepts keys without new data.
CUT_S = REVOKE_S + IN_FORCE_S
NO_ROUTE = "no route"


@dataclass(frozen=True)
class Version:
    """The routes that a version changes, the service of each route, and when the version was written."""

    changed: tuple[str, str]
    services: Mapping[str, str]
    put_s: float
    confirmed_s: float


class Operator:
    """Writes versions of the configuration."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._numbers = itertools.count(2)
        self._services = {f"moved-{n}": "shop" for n in range(ROUTES)}
        self.versions: list[Version] = []

    def put_version(self) -> int:
        """Write the next version and return its number."""
        number = next(self._numbers)
        moved, changed = f"moved-{number % ROUTES}", f"added-{number % ROUTES}"
        self._services[moved] = "other" if self._services[moved] == "shop" else "shop"
        if self._services.pop(changed, None) is None:
            self._services[changed] = "shop"
        routes = [route(name, "idempotent", to) for name, to in self._services.items()]
        services = [{"name": "shop"}, {"name": "other"}]
        put_s = time.monotonic()
        self._platform.configure(configuration(number, routes=routes, services=services))
        version = Version((moved, changed), dict(self._services), put_s, time.monotonic())
        self.versions.append(version)
        return number

    def in_force(self, at_s: float) -> list[Version]:
        """Return the versions that were confirmed long enough before a time."""
        return [v for v in self.versions if v.confirmed_s < at_s - IN_FORCE_S]

    def allowed(self, path: str, sent_s: float, ended_s: float) -> set[str]:
        """Return the services that may run a request, or `NO_ROUTE`, by the versions of its time."""
        in_force = self.in_force(sent_s)
        newer = [v for v in self.versions[len(in_force) :] if v.put_s <= ended_s]
        return {version.services.get(path, NO_ROUTE) for version in in_force[-1:] + newer}


@dataclass(frozen=True)
class Sent:
    """A request that has ended; the status is 0 if it was not answered."""

    attempt_id: str
    instance: Instance
    path: str
    sent_s: float
    ended_s: float
    status: int


class TurnedAwayTestCase(unittest.TestCase):
    """Instances by rank, each with its own link to the store, and callers of all of them."""

    def setUp(self) -> None:
        self.links = StoreLinks()
        self.addCleanup(self.links.close)
        bounds = {"revoke_ms": round(REVOKE_S * 1_000)}
        self.platform = Platform(runners=0, services=2, gate=self.links.open, **bounds)
        self.addCleanup(self.platform.__exit__)
        self.platform.services.append(self.platform.start_runner("other-0", "other"))
        with ThreadPoolExecutor() as pool:
            start = lambda number: self.platform.start_instance(number, **bounds)  # noqa: E731
            self.platform.instances += pool.map(start, range(1, INSTANCES))
        # On a busy machine, an instance is ready before its first log line has been read.
        wait_until(lambda: all(instance.lines for instance in self.platform.instances), "log lines")
        self.ranked = sorted(
            self.platform.instances,
            key=lambda instance: rendezvous_score("hub", instance.lines[0]["instance"]),
        )
        wait_until(lambda: set(self.platform.followers()) == set(self.ranked[1:]), "followers", 20)
        self.operator = Operator(self.platform)
        number = self.operator.put_version()
        for instance in self.ranked:
            wait_until(
                lambda i=instance: i.events("config_in_force")[-1]["revision"] == number, "version"
            )
        self.sent: list[Sent] = []
        self.is_ended = threading.Event()
        self.threads = [
            threading.Thread(target=self.send_requests, args=(instance,), daemon=True)
            for instance in self.ranked
            for _ in range(CALLERS)
        ]
        self.threads.append(threading.Thread(target=self.put_versions, daemon=True))
        self.addCleanup(self.end_threads)
        for thread in self.threads:
            thread.start()

    def put_versions(self) -> None:
        while not self.is_ended.wait(random.uniform(*VERSION_GAPS_S)):
            self.operator.put_version()

    def send_requests(self, instance: Instance) -> None:
        while not self.is_ended.wait(PAUSE_S):
            sent_s, status = time.monotonic(), 0
            version = random.choice(self.operator.in_force(sent_s)[-3:] or self.operator.versions)
            path, attempt_id = random.choice(version.changed), f"t{random.getrandbits(64):x}"
            # The instance may be killed.
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = instance.call("GET", f"/{path}/x", Attempt_Id=attempt_id).status
            ended_s = time.monotonic()
            self.sent.append(Sent(attempt_id, instance, path, sent_s, ended_s, status))

    def end_threads(self) -> None:
        self.is_ended.set()
        for thread in self.threads:
            thread.join(25)

    def cut(self, mode: LinkMode, *instances: Instance) -> float:
        """Turn away instances until the end of the test, and return the time."""
        self.links.set_mode(mode, *instances)
        return time.monotonic()

    def runs(self) -> dict[str, str]:
        """Return the upstream at which each request ran, by attempt id."""
        return {
            run["headers"]["attempt-id"]: process.name
            for process in self.platform.services
            for run in process.state()["runs"]
        }

    def check_requests(self, cut_s: float, *unchecked: Instance) -> None:
        """Check all requests to other instances than those that the test stops or kills."""
        self.end_threads()
        runs = self.runs()
        found: Counter[tuple[str, str]] = Counter()
        for item in self.sent:
            name = f"rank {self.ranked.index(item.instance) + 1}"
            if item.instance in unchecked:
                continue
            if item.status in (200, 404):
                service = (
                    runs[item.attempt_id].partition("-")[0] if item.status == 200 else NO_ROUTE
                )
                is_late = service not in self.operator.allowed(item.path, item.sent_s, item.ended_s)
                found[name, "late" if is_late else "sound"] += 1
            elif item.sent_s > cut_s + IN_FORCE_S:
                found[name, f"refused with {item.status}"] += 1
        faults = {key: count for key, count in found.items() if key[1] != "sound"}
        self.assertEqual(faults, {}, dict(found))
        self.assertGreater(sum(found.values()), 100 * (INSTANCES - len(unchecked)))


class TurnedAwayInstancesTest(TurnedAwayTestCase):
    def check_cut(self, mode: LinkMode, *instances: Instance) -> None:
        cut_s = self.cut(mode, *instances)
        time.sleep(CUT_S)
        self.check_requests(cut_s)

    def test_first_hub_gets_503(self) -> None:
        """Guards against a hub that uses old versions because it queries no other instance."""
        self.check_cut(LinkMode.UNAVAILABLE, self.ranked[0])

    def test_first_hub_gets_no_answer(self) -> None:
        """Guards against a fleet that follows a hub whose reads are not answered."""
        self.check_cut(LinkMode.SILENT, self.ranked[0])

    def test_first_two(self) -> None:
        """Guards against hubs that exclude each other and query nobody else."""
        self.check_cut(LinkMode.UNAVAILABLE, *self.ranked[:2])

    def test_first_and_last(self) -> None:
        """Guards against an instance that keeps to old answers because it has excluded its hubs."""
        self.check_cut(LinkMode.RESET, self.ranked[0], self.ranked[-1])

    def test_all_but_the_last(self) -> None:
        """Guards against old versions at all instances because the one that is served is no hub."""
        self.check_cut(LinkMode.UNAVAILABLE, *self.ranked[:-1])


class FailingHubTest(TurnedAwayTestCase):
    """The first hub is turned away, and the second one fails a second later."""

    def check_failure(self, fail: Callable[[Instance], None]) -> None:
        first, second, *_ = self.ranked
        cut_s = self.cut(LinkMode.UNAVAILABLE, first)
        time.sleep(1.0)
        fail(second)
        time.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
        self.check_requests(cut_s, second)

    def test_second_hub_is_killed(self) -> None:
        """Guards against a turned away hub that has lost the only instance that it queries."""
        self.check_failure(Instance.close)

    def test_second_hub_is_stopped(self) -> None:
        """Guards against a turned away hub that waits for an instance that hangs."""

        def pause(instance: Instance) -> None:
            instance.proc.send_signal(signal.SIGSTOP)
            self.addCleanup(instance.proc.send_signal, signal.SIGCONT)
            time.sleep(3.0)
            instance.proc.send_signal(signal.SIGCONT)

        self.check_failure(pause)


class LeavingUpstreamTest(TurnedAwayTestCase):
    def test_leaving_upstream(self) -> None:
        """Guards against a turned away hub that sends requests to an upstream that has left."""
        self.cut(LinkMode.UNAVAILABLE, self.ranked[0])
        time.sleep(0.2)
        leaving = self.platform.services[1]
        self.platform.register(leaving, "shop", "draining")
        left_s = time.monotonic()
        time.sleep(2 * IN_FORCE_S)
        self.end_threads()
        runs = self.runs()
        late = Counter(
            f"rank {self.ranked.index(item.instance) + 1}"
            for item in self.sent
            if item.sent_s > left_s + IN_FORCE_S and runs.get(item.attempt_id) == leaving.name
        )
        self.assertEqual(late, {})


if __name__ == "__main__":
    unittest.main()
