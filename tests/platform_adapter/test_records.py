"""Tests of the store's records: settings, configuration, registrations and topic framing."""

import json
import struct
import unittest
from base64 import b64encode

from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_core.routing import RoutingConfig
from ibispaddle_core.scheduling import RetryPolicy
from ibispaddle_core.scheduling.cost import CostModel
from ibispaddle_core.settings import FleetConfig, SettingsError
from ibispaddle_core.topics import (
    KeyedRecord,
    OffsetExpired,
    ReadChanges,
    ReadNewest,
    TopicFormatError,
)
from ibispaddle_platform.configuration import ConfigurationReader
from ibispaddle_platform.options import read_options
from ibispaddle_platform.registrations import MAX_COLD_MS, read_registration
from ibispaddle_platform.settings import read_settings
from ibispaddle_platform.store import TopicCodec

from tests.scheduling import fakes

SETTINGS = b"""
node_name = "edge-a-1"
ip = "127.0.0.1"
zone = "a"
port_range = [7000, 7015]
unknown = true
[listen]
front = "127.0.0.1:8001"
ready = "127.0.0.1:8002"
[platform]
address = "127.0.0.1:8003"
[bounds]
grace_s = 8
fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_slack = 100
"""
ENGINE = {
    "slots": 8,
    "kv_capacity": 232_000,
    "stride": 43,
    "step_ms": 1.02,
    "per_seq_ms": 0.0045,
    "read_per_s": 206_000.0,
    "pairs_per_m": 0.138,
    "hop_ms": 0.075,
    "usual": {"prompt": 12_316, "answer": 1_303},
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "drafts",
            "host": "a.example",
            "path_prefix": "/d/",
            "kind": "streaming",
            "timeout_ms": 10_000,
            "slo_ms": 300,
            "attempts": 2,
            "resumable": True,
            "gap_aim_ms": 250,
            "backends": [{"service": "llm", "weight": 90}, {"service": "llm2", "weight": 10}],
        },
        {
            "name": "once",
            "host": "a.example",
            "path_prefix": "/o/",
            "kind": "non_idempotent",
            "service": "shop",
            "new": 1,
        },
    ],
    "services": [{"name": "llm", "engine": ENGINE}, {"name": "shop", "max_conns": 96}],
    "tenants": [{"name": "blue", "api_keys": ["k1", "k2"], "priority": 1}],
}


class SettingsTest(unittest.TestCase):
    def test_settings_of_an_instance(self) -> None:
        read = read_settings(SETTINGS, "node.toml").gateway
        self.assertEqual(read.instance.instance_id, "edge_a_1")
        self.assertEqual(read.instance.peer_listen, "127.0.0.1:7000")
        self.assertEqual((read.store_url, read.revocation_ms), ("http://127.0.0.1:8003", 5_000))
        self.assertLess(read.instance.drain_timeout_ms, 8_000)

    def test_memory_of_the_machine(self) -> None:
        read = read_settings(SETTINGS + b"[limits]\nmemory_mb = 200\n", "node.toml").gateway
        self.assertEqual(read.instance.memory_mb, 200)
        self.assertIsNone(read_settings(SETTINGS, "node.toml").gateway.instance.memory_mb)

    def test_any_machine_name_gives_an_instance_id(self) -> None:
        """Guards against an instance that does not start because of its machine's name."""
        ids = set()
        for name in (b"edge-a/1", b"e" * 100, b"e" * 101):
            data = SETTINGS.replace(b"edge-a-1", name)
            ids.add(read_settings(data, "node.toml").gateway.instance.instance_id)
        self.assertEqual(len(ids), 3)
        self.assertIn("edge_a_1", ids)
        self.assertTrue(all(len(item) <= 64 for item in ids))

    def test_invalid_settings_are_reported(self) -> None:
        """Guards against an instance that starts with invalid settings."""
        for data in (b"node_name = 1", b"[", b"\xff", SETTINGS.replace(b"[7000, 7015]", b"7000")):
            with self.assertRaisesRegex(Exception, "node.toml"):
                read_settings(data, "node.toml")


class OptionsTest(unittest.TestCase):
    def test_limit_of_hedges(self) -> None:
        """Guards against an operator's limit that does not reach the scheduler."""
        for arguments in (["--hedge-fraction", "0.02"], ["--hedge-fraction=0.02"]):
            settings = read_settings(SETTINGS, "node.toml", read_options(arguments))
            _, fleet = ConfigurationReader(settings).read(json.dumps(CONFIG).encode())
            self.assertEqual(fleet.scheduling.hedge_fraction, 0.02)
        self.assertEqual(read_settings(SETTINGS, "node.toml").gateway.hedge_fraction, 0.0)

    def test_mistakes_are_reported_with_the_value(self) -> None:
        """Guards against instances of a deployment that start with a limit nobody meant."""
        for arguments, check_id in (
            (["--hedge-fraction", "2"], "platform.E003"),
            (["--hedge-fraction", "nan"], "platform.E003"),
            (["--hedge-fraction", "2%"], "platform.E003"),
            (["--hedge-fraction"], "platform.E003"),
            (["--hedge-fractoin", "0.02"], "platform.E002"),
        ):
            with self.assertRaises(SettingsError) as raised:
                read_options(arguments)
            text = str(raised.exception)
            self.assertIn(check_id, text)
            self.assertIn(arguments[-1], text)


class ConfigurationTest(unittest.TestCase):
    reader = ConfigurationReader(read_settings(SETTINGS, "node.toml"))

    def test_routes_services_and_keys(self) -> None:
        routing, fleet = self.reader.read(json.dumps(CONFIG).encode())
        drafts, once = routing.routes
        self.assertEqual((drafts.retry_policy, drafts.max_runs), (RetryPolicy.ANY_TIME, 2))
        self.assertEqual([t.weight for t in drafts.targets], [90, 10])
        self.assertEqual((drafts.max_silence_ms, once.max_silence_ms), (720, 0))
        self.assertEqual((drafts.patience_ms, once.patience_ms), (2_000, None))
        self.assertEqual((once.retry_policy, once.max_runs), (RetryPolicy.PROVED_NOT_RUN, 1))
        self.assertEqual(routing.workspaces, {"k1": "blue", "k2": "blue"})
        model = fleet.models["llm"]
        self.assertEqual((model.engine_kv_tokens, model.max_helpers), (232_000, 16))
        # A pass without prefill takes 45 ms; the pass, the prefill and a margin add up to one gap.
        self.assertAlmostEqual(model.harmless_reading_ms, 250 - 45.4 - 25, delta=1)
        self.assertIsNotNone(fleet.models["shop"].call_ms)

    def test_homes(self) -> None:
        settings = read_settings(SETTINGS + b'[zones]\na = "north"\nb = "south"\n', "node.toml")
        reader = ConfigurationReader(settings)
        routes = [{**CONFIG["routes"][0], "allowed_regions": ["south"]}, CONFIG["routes"][1]]
        tenants = [
            {"name": "blue", "allowed_regions": ["north", "south"]},
            {"name": "red", "allowed_regions": []},
        ]
        config = {**CONFIG, "routes": routes, "tenants": tenants}
        routing, fleet = reader.read(json.dumps(config).encode())
        self.assertEqual([route.regions for route in routing.routes], [{"south"}, None])
        self.assertEqual(routing.homes, {"blue": {"north", "south"}})
        self.assertEqual(fleet.region_by_data_centre, {"a": "north", "b": "south"})

    def test_large_prompts_are_split_to_leave_memory_for_streams(self) -> None:
        """Guards against a prompt that must wait for streams of its engine to end before its prefill."""
        _, fleet = self.reader.read(json.dumps(CONFIG).encode())
        cost = CostModel(fleet)
        for tokens, engines in ((150_000, 1), (200_000, 2)):
            req = fakes.request("a", model="llm", prompt_tokens=tokens, max_output_tokens=1_300)
            self.assertEqual(cost.min_segments(req), engines)

    def test_limit_for_cold_upstreams(self) -> None:
        """Guards against a limit that is not read, or that a service without one gets."""
        cold = {"cold_s": 3.0, "cold_per_s": 15}
        services = [{"name": "llm", "engine": ENGINE, **cold}, {"name": "shop", **cold}]
        for changed, expected in ((services, (15.0, 3_000)), (CONFIG["services"], (0.0, 0))):
            _, fleet = self.reader.read(json.dumps({**CONFIG, "services": changed}).encode())
            for model in fleet.models.values():
                self.assertEqual((model.cold_requests_per_s, model.cold_ms), expected)

    def test_delays_between_data_centres(self) -> None:
        """Guards against delays that are not read, and a configuration that is unusable without them."""
        entry = {"from": "a", "target_version": "b", "delay_ms": 0.9}
        for delays, expected in (([entry], [("a", "b", 0.9)]), ([{}], [("", "", 0.0)]), ([], [])):
            services = [{"name": "llm", "engine": {**ENGINE, "delays": delays}}]
            _, fleet = self.reader.read(json.dumps({**CONFIG, "services": services}).encode())
            read = [(item.first, item.second, item.delay_ms) for item in fleet.models["llm"].delays]
            self.assertEqual(read, expected)

    def test_streams_that_cannot_be_resumed_run_once(self) -> None:
        """Guards against a stream that is assembled from two runs."""
        route = {**CONFIG["routes"][0], "resumable": False}
        routing, _ = self.reader.read(json.dumps({**CONFIG, "routes": [route]}).encode())
        self.assertEqual(routing.routes[0].retry_policy, RetryPolicy.PROVED_NOT_RUN)

    def test_unusable_configurations(self) -> None:
        """Guards against an invalid record that replaces the configuration in force."""
        no_service = {"version": 8, "routes": [{**CONFIG["routes"][1], "service": None}]}
        for value in (b"", b"{}", b"\xff", b'{"version":"x"}', json.dumps(no_service).encode()):
            self.assertIsNone(self.reader.read(value))

    def read_with(self, name: str, value: object) -> tuple[RoutingConfig, FleetConfig] | None:
        """Return the configuration with another value of a field of its routes, engine or limits."""
        routes = [{**route, name: value} for route in CONFIG["routes"]]
        engine = {**ENGINE, name: value}
        services = [{"name": "llm", "engine": engine}, {"name": "shop"}]
        config = {**CONFIG, "routes": routes, "services": services, "limits": {name: value}}
        return self.reader.read(json.dumps(config).encode())

    def test_fractions_are_accepted_in_all_numbers(self) -> None:
        """Guards against a version that is dropped as a whole because of one value (review/4)."""
        routing, _ = self.read_with("timeout_ms", 562.5)
        self.assertIn(routing.routes[0].timeout_ms, (562, 563))
        names = ("timeout_ms", "slo_ms", "attempts", "gap_aim_ms", *ENGINE, "max_body_bytes")
        for name in (name for name in names if name != "usual"):
            with self.subTest(name):
                self.assertIsNotNone(self.read_with(name, 1.5))

    def test_engine_with_cheap_attention(self) -> None:
        """Guards against a version that is dropped because an estimate exceeds a limit (review/4)."""
        _, fleet = self.read_with("pairs_per_m", 1e-6)
        self.assertEqual(fleet.models["llm"].attention_tokens, 100_000_000)

    @given(
        st.sampled_from(("timeout_ms", "slo_ms", "attempts", "gap_aim_ms", "weight", *ENGINE)),
        st.floats() | st.integers() | st.sampled_from(("nan", "inf", "-inf", None, [], {})),
    )
    def test_arbitrary_values_do_not_raise(self, name: str, value: object) -> None:
        """Guards against an update of the configuration that is aborted by an exception (review/4)."""
        self.read_with(name, value)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_do_not_raise(self, value: bytes) -> None:
        """Guards against a record that crashes an instance."""
        self.reader.read(value)


class RegistrationTest(unittest.TestCase):
    ENTRY = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "seq": 4}

    def test_entry(self) -> None:
        read = read_registration("i-1", json.dumps(self.ENTRY).encode())
        self.assertEqual((read.upstream_id, read.service, read.is_leaving), ("i-1", "s", False))
        leaving = read_registration("i-1", json.dumps({**self.ENTRY, "state": "draining"}).encode())
        self.assertTrue(leaving.is_leaving)

    def test_cold_time(self) -> None:
        """Guards against a countdown that makes each heartbeat look like a change."""
        read = {}
        for left_ms in (None, 0, 1_800.4, -5, 1e300):
            value = json.dumps({**self.ENTRY, "cold_left_ms": left_ms}).encode()
            read[left_ms] = read_registration("i-1", value)
        self.assertEqual(
            [item.cold_remaining_ms for item in read.values()], [None, 0, 1_800, 0, MAX_COLD_MS]
        )
        self.assertEqual(len({*read.values()}), 1)

    def test_invalid_entries_are_ignored(self) -> None:
        """Guards against requests to an entry that does not describe a runner."""
        for change in ({"state": "odd"}, {"address": 5}, {"address": "x"}, {"service": ""}):
            value = json.dumps({**self.ENTRY, **change}).encode()
            self.assertIsNone(read_registration("i-1", value), change)
        self.assertIsNone(read_registration("i-1", b"\x00"))


class TopicFramingTest(unittest.TestCase):
    codec = TopicCodec()

    def test_encoded_records_are_decoded_unchanged(self) -> None:
        bodies = [
            self.codec.put("keyed.t", key, value)
            for key, value in (("a", b"1"), ("b", None), ("c", b""))
        ]
        answer = struct.pack(">QQ", 12, 3) + b"".join(call.body for call in bodies)
        read = self.codec.decode(ReadChanges(9, 0), 200, (), answer)
        expected = (
            KeyedRecord("a", b"1", 9),
            KeyedRecord("b", None, 10),
            KeyedRecord("c", None, 11),
        )
        self.assertEqual((read.records, read.next_offset, read.end), (expected, 12, 12))

    def test_newest(self) -> None:
        item = {"key": "a", "value": b64encode(b"1").decode(), "offset": 4}
        body = json.dumps({"items": [item], "has_more": False, "end": 6}).encode()
        read = self.codec.decode(ReadNewest(), 200, (), body)
        self.assertEqual((read.records, read.end), ((KeyedRecord("a", b"1", 4),), 6))

    def test_page_that_cannot_be_continued(self) -> None:
        """Guards against upstreams that are taken for gone because a page has no records."""
        body = json.dumps({"items": [], "has_more": True, "end": 6}).encode()
        with self.assertRaises(TopicFormatError):
            self.codec.decode(ReadNewest(), 200, (), body)

    def test_expired_offset(self) -> None:
        self.assertEqual(self.codec.decode(ReadChanges(9, 0), 410, (), b""), OffsetExpired())

    def test_era(self) -> None:
        """Guards against offsets that are compared although the store was restored between them."""
        changes = struct.pack(">QQ", 12, 3)
        newest = json.dumps({"items": [], "has_more": False, "end": 6}).encode()
        calls = ((ReadChanges(9, 0), 200, changes), (ReadNewest(), 200, newest))
        for call, status, body in (*calls, (ReadChanges(9, 0), 410, b"")):
            for value, era in (("7", 7), (" 7 ", 7), ("0", 0), ("-1", 0), ("x", 0), ("", 0)):
                read = self.codec.decode(call, status, (("store-era", value),), body)
                self.assertEqual(read.era, era, (call, value))
            self.assertEqual(self.codec.decode(call, status, (), body).era, 0)

    def test_invalid_responses(self) -> None:
        """Guards against a truncated response that is taken for the end of the topic."""
        record = self.codec.put("keyed.t", "a", b"1").body
        head = struct.pack(">QQ", 12, 3)
        cut = [head[:5], head + record[:2], head + record[:-1]]
        for status, body in [(503, b""), (429, b""), *((200, data) for data in cut)]:
            with self.assertRaises(TopicFormatError):
                self.codec.decode(ReadChanges(9, 0), status, (), body)
        with self.assertRaises(TopicFormatError):
            self.codec.decode(ReadNewest(), 200, (), b"{}")

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_do_not_raise(self, body: bytes) -> None:
        """Guards against data from the store that crashes an instance."""
        for call in (ReadChanges(0, 0), ReadNewest()):
            try:
                self.codec.decode(call, 200, (), body)
            except TopicFormatError:
                continue


if __name__ == "__main__":
    unittest.main()
