"""Tests of entries that another writer left among those of the runners."""

import json
import time
import unittest
from collections.abc import Iterator

from tests.support.ports import reserve_ports_for
from tests.support.waiting import wait_until

from .processes import Platform

DEPTH = 50_000
DIGITS = 5_000


def odd_entries() -> Iterator[tuple[str, str]]:
    """Yield entries that name no runner, each of which a careless reader fails on."""
    entry = {"service": "llm", "address": "127.0.0.1:9", "zone": "a", "state": "ready"}
    fields = json.dumps(entry)[1:-1]
    yield "nested", f'{{{fields}, "more": {"[" * DEPTH}{"]" * DEPTH}}}'
    yield "nested-objects", f'{{{fields}, "more": {"{" + chr(34) + "a" + chr(34) + ":"}' + (
        '{"a":' * DEPTH + "1" + "}" * DEPTH + "}}"
    )
    yield "nested-only", "[" * DEPTH
    for name in ("born", "slots", "cold_left_ms", "seq"):
        yield f"large-{name}", f'{{{fields}, "{name}": {"9" * DIGITS}}}'
        yield f"exponent-{name}", f'{{{fields}, "{name}": 1e999}}'
    for address in (
        "127.0.0.1:99999",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:²",
        "127.0.0.1:" + "9" * DIGITS,
        "999.0.0.1:80",
        "no-such-host.invalid:80",
        "[::1:80",
        "127.0.0.1/x:80",
        "127.0.0.1:80/x:80",
        ":80",
        "127.0.0.1",
        "\ud800:80",
        "a@127.0.0.1:80",
    ):
        yield f"address-{ascii(address)[:20]}", json.dumps(entry | {"address": address})
    yield "not-json", "\x00\x01"
    yield "other-type", json.dumps(entry | {"service": ["llm"]})


class OddEntriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=1, instances=2)
        self.addCleanup(self.platform.__exit__)
        wait_until(lambda: len(self.platform.followers()) == 1, "relay", 20)

    def serve(self) -> None:
        for instance in self.platform.instances:
            for _ in range(4):
                self.assertEqual(instance.stream().status, 200)

    def check_followed(self, number: int) -> None:
        """Check that a runner that registers now gets work from all instances."""
        runner = self.platform.start_runner(f"late-{number}", "llm")

        def is_listed() -> bool:
            lists = [instance.events("upstream_added") for instance in self.platform.instances]
            return all(any(line["upstream"] == runner.name for line in lines) for lines in lists)

        wait_until(is_listed, "new runner in all lists", 8)
        self.serve()

    def test_odd_entries_among_the_runners(self) -> None:
        """Guards against instances that end, or no longer follow the list, because of one entry."""
        for name, value in odd_entries():
            self.platform.put("keyed.servers", name, value)
        self.check_followed(1)
        # An instance that starts reads all entries at once.
        for instance in self.platform.instances:
            instance.close()
        for instance in self.platform.instances:
            instance.start()
            wait_until(instance.is_ready, "ready")
        self.check_followed(2)
        for instance in self.platform.instances:
            self.assertIsNone(instance.proc.poll())
            self.assertEqual(instance.events("handler_failed"), [])

    def test_odd_entries_among_the_instances(self) -> None:
        """Guards against an instance that loses its hubs because of an entry in the own topic."""
        record = {"peer_address": "127.0.0.1:99999", "data_centre": "a", "capacity": 1e300}
        values = ["[" * DEPTH, json.dumps(record), json.dumps(record | {"peer_address": "h:²"})]
        values.append(
            json.dumps(record | {"peer_address": f"127.0.0.1:{reserve_ports_for(self, 1)[0]}"})
        )
        for number, value in enumerate(values):
            self.platform.put("keyed.instances", f"odd-{number}", value)
        time.sleep(3.0)
        self.check_followed(1)
        for instance in self.platform.instances:
            self.assertIsNone(instance.proc.poll())
            self.assertEqual(instance.events("handler_failed"), [])


if __name__ == "__main__":
    unittest.main()
