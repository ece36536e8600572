"""Instances whose configuration changes, and callers that show which version an instance uses.

Each version moves one route to another service, and adds or drops another route. Callers send requests to
all instances, and the runs at the services show the version.
"""

import contextlib
import http.client
import itertools
import random
import threading
import time
import unittest
from collections import Counter
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

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
        self._config: dict[str, Any] = {}
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
        self._config = configuration(number, routes=routes, services=services)
        put_s = time.monotonic()
        self._platform.configure(self._config)
        version = Version((moved, changed), dict(self._services), put_s, time.monotonic())
        self.versions.append(version)
        return number

    def reuse_number(self) -> None:
        """Give the number of the newest version, which the store has lost, to the next one."""
        self._numbers = itertools.count(self._config["version"])

    def repeat_version(self) -> None:
        """Write the newest version again, which the store has lost."""
        self._platform.configure(self._config)

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


class ChangingRoutesTestCase(unittest.TestCase):
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
        self.wait_for_version(self.operator.put_version())
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

    def wait_for_version(self, number: int) -> None:
        """Wait until a version is in force at all instances."""
        for instance in self.ranked:
            wait_until(
                lambda i=instance: i.events("config_in_force")[-1]["revision"] == number, "version"
            )

    def put_versions(self) -> None:
        """Write versions until the end of the test."""
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
