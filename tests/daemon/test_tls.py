"""Tests of TLS connections to upstreams and between instances, with real processes."""

import tempfile
import time
import unittest
from pathlib import Path

import requests
from ibispaddle_bench.fleet import Fleet as InstanceFleet
from ibispaddle_bench.fleet import FleetSpec
from ibispaddle_standins.answers import find_answer_error

from tests.support.certificates import CertificateAuthority
from tests.support.http import metric
from tests.support.waiting import wait_until

from . import processes

HEADERS = {"Authorization": f"Bearer {processes.KEY}"}
MODEL = {"context_tokens": 2_000_000, "engine_kv_tokens": 2_000_000}
MODEL |= {"prefill_tokens_per_s": 1_250_000.0, "decode_tokens_per_s": 3_000.0}


class TlsFleet(processes.Fleet):
    """A fleet whose instance list contains the TLS ports of the upstreams."""

    def listed_address(self, upstream):
        return f"127.0.0.1:{upstream.tls_port}"

    def reachable(self):
        return len(self.runners)


class TlsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.authority, cls.other = CertificateAuthority(folder, "operators"), CertificateAuthority(
            folder, "other"
        )

    def fleet(self, certificate):
        files = ("--tls-certificate", certificate[0], "--tls-key", certificate[1])
        args = ("--time-scale", "50", "--kv-tokens", "2000000", *files)
        tls = {"ca_file": str(self.authority.file)}
        document = processes.fleet_document(models={"m": MODEL})
        fleet = TlsFleet(1, args, 1, document, files, runner_tls=tls, service_tls=tls)
        return self.enterContext(fleet)

    def complete(self, fleet, prompt):
        body = {"model": "m", "prompt": prompt, "max_tokens": 300}
        url = f"{fleet.instance.url}/v1/completions"
        return requests.post(url, json=body, headers=HEADERS, timeout=30)

    def call(self, fleet):
        return requests.get(f"{fleet.instance.url}/services/shop/x", headers=HEADERS, timeout=30)

    def test_requests_to_runners_and_services(self):
        """Guard against bodies that stall in TLS, and against truncated or mixed-up responses."""
        fleet = self.fleet(self.authority.sign("runner"))
        wait_until(lambda: self.complete(fleet, "first").ok, "a probed runner")
        for prompt in ("short", "words and words " * 350_000, "short again"):
            answer = self.complete(fleet, prompt)
            self.assertTrue(answer.ok, answer.text)
            self.assertFalse(find_answer_error(answer.json()["choices"][0]["text"], prompt, 300))
        self.assertEqual(self.call(fleet).status_code, 200)
        self.assertEqual(fleet.instance.stop(), 0)
        self.assertEqual(fleet.instance.problems(), [])

    def test_upstream_without_a_valid_certificate_gets_no_request(self):
        """Guard against sending any part of a prompt to an unauthenticated upstream."""
        for certificate in (self.other.sign("x"), self.authority.sign("y", ip="127.0.0.2")):
            with self.subTest(certificate[0]):
                fleet = self.fleet(certificate)
                for answer in (self.complete(fleet, "secret"), self.call(fleet)):
                    self.assertIn(answer.status_code, (502, 503), answer.text)
                    self.assertEqual(answer.json()["error"]["run_state"], "not_run")
                self.assertEqual(fleet.runners[0].state()["arrivals"], 0)
                self.assertEqual(fleet.services[0].state()["arrived"], 0)

    def test_instances_need_a_certificate_of_the_operators_authority(self):
        """Guard against an instance that joins with the shared secret but no valid certificate."""
        authority, other = self.authority, self.other

        class MixedFleet(InstanceFleet):
            def settings(self, name, port, peer_port):
                cert, key = (other if name == "entry.3" else authority).sign(name)
                files = {"ca_file": str(authority.file), "certificate_file": cert, "key_file": key}
                return super().settings(name, port, peer_port) | {"peer_tls": files}

        spec = FleetSpec(entries=3, runners=0, services=0, data_centres=("dc.1",))
        fleet = self.enterContext(MixedFleet(spec))
        name = "ibispaddle_peer_connections"
        wait_until(lambda: all(metric(e, name) == 1 for e in fleet.entries[:2]), "connections")
        time.sleep(2)
        self.assertEqual([metric(entry, name) for entry in fleet.entries], [1, 1, 0])
        received = metric(fleet.entries[0], "ibispaddle_peer_received_messages_total")
        self.assertGreater(received, 3)
        logs = "".join(fleet.log_tail(entry) for entry in fleet.entries)
        self.assertIn("TLS handshake failed", logs)


if __name__ == "__main__":
    unittest.main()
