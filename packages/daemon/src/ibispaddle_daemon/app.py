"""Wiring of an instance and its life cycle."""

import signal
from pathlib import Path
from typing import Any

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock, SystemClock
from ibispaddle_core.membership import MemberKind, MembershipView, MemberState
from ibispaddle_core.settings import FleetConfig, InstanceSettings

from .account import UsageAccount
from .claims import ClaimCoordinator
from .committers import CommitterPool
from .configuration import Configuration
from .configuration_restart import ConfigurationRestart
from .entry import RequestCoordinator
from .events import drain_completed, drain_started
from .fleet_operations import FleetOperations
from .http_client import HttpClient
from .instance_list import InstanceListReader
from .logs import log_event, log_handler_failure
from .metrics import Metrics, Status
from .operators import Operators
from .orders import OrderDispatcher
from .pauses import PauseDetector
from .peers import PeerNetwork
from .platform_log import PlatformLog
from .probes import Probes
from .quarantine import QuarantineManager
from .request_gauges import RequestGauges
from .request_reader import RequestReader
from .services import ServiceProxy
from .shares import Shares
from .stopping import DRAIN_POLL_MS, Drain
from .suspects import SuspectTracker
from .timers import TimerQueue
from .tls import call_contexts, listener_context, upstream_scheme
from .traces import RequestTraces
from .tracing import Tracing
from .usage import Usage
from .web_server import WebServer

FLUSH_TIMEOUT_MS = 500
# Used while instances share no secret. The key only has to be equal at all instances.
DEFAULT_FINGERPRINT_KEY = b"ibispaddle"


class App(BaseComponent):
    """Hold all components of one instance."""

    channel = "app"

    def __init__(
        self, settings: InstanceSettings, config: FleetConfig, clock: Clock | None = None
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock or SystemClock()
        self.exit_status = 0
        self._draining = False
        self._drain_limit_ms = 0
        self._was_ready = False
        EPoll().register(self)
        self.timers = TimerQueue(self.clock).register(self)
        self.metrics = Metrics()
        self.http_client = HttpClient(self.clock, call_contexts(settings)).register(self)
        self.tracing = Tracing(
            settings.instance_id,
            settings.data_centre,
            settings.trace_url,
            self.clock,
            self.timers,
        ).register(self)
        self.status = Status(self.metrics, ("instance_list", "configuration")).register(self)
        self.view = MembershipView(settings.instance_id, settings.data_centre)
        sources = ("instance_list", "configuration")
        self.pauses = PauseDetector(sources, self.view, self.clock, self.timers).register(self)
        self.server = WebServer(
            settings.listen,
            self.clock,
            self.timers,
            config.limits,
            listener_context(settings),
            self.pauses.is_recovering,
        ).register(self)
        self.quarantine = QuarantineManager(settings, self.view, self.clock, self.timers).register(
            self
        )
        self.suspects = SuspectTracker(self.quarantine.registry, self.clock).register(self)
        self.entry = RequestCoordinator(
            settings.instance_id,
            config,
            self.http_client,
            self.clock,
            self.timers,
            self.metrics,
            self.tracing,
            self.suspects,
            upstream_scheme(settings, MemberKind.RUNNER),
        ).register(self)
        RequestReader(
            config, _fingerprint_key(settings), self.suspects, self.metrics, self.entry.admit
        ).register(self)
        self.entry.scheduler.is_dispatch_paused = self.pauses.is_recovering
        self.services = ServiceProxy(
            settings.instance_id,
            config,
            self.clock,
            self.timers,
            self.metrics,
            self.tracing,
            upstream_scheme(settings, MemberKind.SERVICE),
            self.pauses.is_recovering,
        ).register(self)
        self._add_fleet_components()
        self._add_log_components(config)
        self._add_gauges()

    def _add_fleet_components(self) -> None:
        """Add what this instance shares with other instances."""
        settings, clock, timers = self.settings, self.clock, self.timers
        boot = clock.wall_ms()
        secret = _peer_secret(settings)
        self.peers = PeerNetwork(settings, secret, self.view, boot, clock, timers).register(self)
        self.probes = Probes(settings, self.view, clock, timers).register(self)
        self.usage = Usage(settings, self.view, boot, clock, timers).register(self)
        self.shares = Shares(
            settings, self.entry.scheduler, self.entry.handle_event, boot, clock, timers
        ).register(self)
        self.instance_list = InstanceListReader(settings, self.view, clock, timers).register(self)

    def _add_log_components(self, config: FleetConfig) -> None:
        """Add what depends on the platform's log; `config` applies while the log is empty."""
        settings, clock, timers = self.settings, self.clock, self.timers
        self.log = PlatformLog(settings.log_url, clock, timers, clock.wall_ms()).register(self)
        self.configuration = Configuration(
            settings, config, self.view, clock, timers, clock.wall_ms()
        ).register(self)
        boot = clock.wall_ms()
        self.committers = CommitterPool(settings, boot, self.view, clock, timers).register(self)
        self.claims = ClaimCoordinator(
            settings, boot, self.view, self.peers, clock, timers
        ).register(self)
        self.operators = Operators(settings, self.configuration, clock).register(self)
        ConfigurationRestart(
            settings, config, self.operators, self.configuration, self.view, clock, timers
        ).register(self)
        FleetOperations(self.operators, self.view, self.quarantine, clock).register(self)
        RequestTraces(
            settings.instance_id, self.tracing.recent, self.operators, self.view, timers
        ).register(self)
        OrderDispatcher(
            settings, self.operators, self.view, clock.wall_ms(), clock, timers
        ).register(self)
        UsageAccount(
            settings, self.operators, self.configuration, self.view, clock.wall_ms(), clock, timers
        ).register(self)

    def _add_gauges(self) -> None:
        add, count = self.metrics.add_gauge, self.metrics.add_counter
        RequestGauges(self.entry, self.clock).add_to(self.metrics)
        add(
            "ibispaddle_caller_connections",
            "Open connections of callers.",
            lambda: self.server.listener.open_connections,
        )
        add(
            "ibispaddle_unsent_bytes",
            "Bytes of answers that callers have not taken yet.",
            lambda: self.server.unsent_bytes,
        )
        add(
            "ibispaddle_upstream_connections",
            "Open connections, without those that wait for the log.",
            lambda: self.http_client.open_connections - self.log.calls_in_flight,
        )
        add(
            "ibispaddle_runners_live",
            "Runners that take new work.",
            lambda: self._count_live(MemberKind.RUNNER),
        )
        add(
            "ibispaddle_instances_live",
            "Instances that take part in shared duties, with this one.",
            lambda: self._count_live(MemberKind.ENTRY),
        )
        add(
            "ibispaddle_peer_connections",
            "Instances with an authenticated connection.",
            lambda: len(self.peers.connected_peers),
        )
        count(
            "ibispaddle_peer_sent_bytes_total",
            "Bytes sent to other instances.",
            lambda: self.peers.transport.traffic.bytes_out,
        )
        count(
            "ibispaddle_peer_received_bytes_total",
            "Bytes received from other instances.",
            lambda: self.peers.transport.traffic.bytes_in,
        )
        add(
            "ibispaddle_log_available",
            "Whether the platform's log answers.",
            lambda: float(self.log.is_available),
        )
        add(
            "ibispaddle_log_read_bytes",
            "Bytes read from the platform's log since the start.",
            lambda: self.log.bytes_read,
        )
        self.metrics.add_labelled_counter(
            "ibispaddle_log_appends_total",
            "Appends to the platform's log that ended, by stream and result.",
            lambda: [
                ({"stream": stream, "result": result}, count)
                for (stream, result), count in self.log.append_results.items()
            ],
        )
        add(
            "ibispaddle_claim_table_keys",
            "Idempotency keys in the claim tables of the followed partitions.",
            lambda: self.committers.key_count,
        )
        add(
            "ibispaddle_claim_partitions",
            "Partitions of the claims that this instance follows as committer.",
            lambda: self.committers.partition_count,
        )
        count(
            "ibispaddle_peer_sent_messages_total",
            "Messages sent to other instances.",
            lambda: self.peers.transport.traffic.frames_out,
        )
        count(
            "ibispaddle_peer_received_messages_total",
            "Messages received from other instances.",
            lambda: self.peers.transport.traffic.frames_in,
        )
        add(
            "ibispaddle_upstream_calls",
            "HTTP calls in flight, without those to the log.",
            lambda: self.http_client.calls_in_flight - self.log.calls_in_flight,
        )

    def _count_live(self, kind: MemberKind) -> int:
        members = self.view.members(self.clock.now_ms(), kind)
        return sum(member.state is MemberState.LIVE for member in members)

    @handler("started", channel="*")
    def _on_started(self, *args: Any) -> None:
        address = self.server.address
        log_event(logevents.INSTANCE_STARTED, listen=address)

    @handler("readiness_changed", channel="*", priority=-1)
    def _on_readiness_changed(self, component: str, ready: bool) -> None:
        if self.status.is_ready and not self._was_ready:
            log_event(logevents.INSTANCE_READY)
        self._was_ready = self.status.is_ready

    @handler("exception", channel="*")
    def _on_exception(self, kind: Any, value: Any, trace: list[str], **kwargs: Any) -> None:
        log_handler_failure(value, trace, kwargs)

    @handler("signal", channel="*")
    def _on_signal(self, number: int, stack: Any) -> None:
        if number in (signal.SIGTERM, signal.SIGINT) and not self._draining:
            self._begin_drain()
        elif number == signal.SIGINT:
            self.exit_status = 130
            self.stop()

    def _begin_drain(self) -> None:
        self._draining = True
        self._drain_limit_ms = self.clock.now_ms() + self.settings.drain_timeout_ms
        log_event(logevents.INSTANCE_DRAINING, requests=self.server.active_requests)
        self.fire(drain_started(), "*")
        Drain(
            self.server,
            self.clock,
            self.timers,
            self._is_busy,
            self._drain_ends_ms,
            self._finish_drain,
        ).begin()

    def _is_busy(self) -> bool:
        busy = self.server.active_requests + self.server.unsent_connections
        return busy + self.services.calls_in_flight > 0

    def _drain_ends_ms(self) -> int:
        deadlines = (self.entry.latest_deadline_ms, self.services.latest_deadline_ms)
        return max(self._drain_limit_ms, *deadlines)

    def _finish_drain(self, is_complete: bool) -> None:
        if not is_complete:
            log_event(logevents.DRAIN_TIMEOUT, requests=self.server.active_requests)
            self.exit_status = 1
        self.fire(drain_completed("requests"), "*")
        limit_ms = self.clock.now_ms() + FLUSH_TIMEOUT_MS

        def check() -> None:
            is_unfinished = self.http_client.calls_in_flight or self._is_busy()
            if is_unfinished and self.clock.now_ms() < limit_ms:
                self.timers.after(DRAIN_POLL_MS, check)
                return
            log_event(logevents.INSTANCE_STOPPED, exit_status=self.exit_status)
            self.stop()

        self.timers.after(DRAIN_POLL_MS, check)


def _peer_secret(settings: InstanceSettings) -> bytes:
    if not settings.peer_secret_file:
        return b""
    return Path(settings.peer_secret_file).read_bytes().strip()


def _fingerprint_key(settings: InstanceSettings) -> bytes:
    return _peer_secret(settings) or DEFAULT_FINGERPRINT_KEY
