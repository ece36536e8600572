"""Component wiring and life cycle of an instance."""

import signal
from pathlib import Path
from typing import Any

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock, SystemClock
from ibispaddle_core.forwarding import MemoryBudget
from ibispaddle_core.membership import MemberKind, MembershipView, MemberState
from ibispaddle_core.settings import FleetConfig, InstanceSettings

from .account import UsageReporter
from .claims import ClaimCoordinator
from .committers import CommitterPool
from .configuration import Configuration
from .configuration_restart import ConfigurationRestart
from .entry import RequestCoordinator
from .evacuations import EvacuationMonitor
from .events import drain_completed, drain_started
from .fleet_operations import FleetEndpoints
from .http_client import HttpClient
from .instance_list import InstanceListReader
from .logs import log_event, log_handler_failure
from .memory_metrics import add_memory_metrics
from .metrics import Metrics, Status
from .operators import OperatorEndpoints
from .orders import OrderDispatcher
from .pauses import PauseDetector
from .peers import PeerNetwork
from .platform_log import PlatformLog
from .probes import Probes
from .quarantine import QuarantineManager
from .request_gauges import RequestGauges
from .request_reader import RequestReader
from .services import ServiceProxy
from .shares import SchedulerStateSync
from .stopping import DRAIN_POLL_MS, Drain
from .suspects import SuspectTracker
from .timers import TimerQueue
from .tls import call_contexts, listener_context, upstream_scheme
from .traces import TraceEndpoint
from .tracing import Tracing
from .usage import UsageRecorder
from .web_server import WebServer

# Time for trace exports and unsent response bytes after the drain.
FLUSH_TIMEOUT_MS = 500
# Used if no peer secret is configured. The key must be the same on all instances.
DEFAULT_FINGERPRINT_KEY = b"ibispaddle"


class App(BaseComponent):
    """Root component: creates and registers all components of one instance."""

    channel = "app"

    def __init__(
        self, settings: InstanceSettings, config: FleetConfig, clock: Clock | None = None
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock or SystemClock()
        self.exit_status = 0
        self._draining = False
        self._drain_timeout_at_ms = 0
        self._was_ready = False
        EPoll().register(self)
        self.timers = TimerQueue(self.clock).register(self)
        self.metrics = Metrics()
        budget = MemoryBudget.from_settings(settings)
        self.http_client = HttpClient(
            self.clock, call_contexts(settings), budget.buffered_calls
        ).register(self)
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
            budget=budget,
            paused_calls=lambda: self.http_client.paused_calls,
        ).register(self)
        self.quarantine = QuarantineManager(settings, self.view, self.clock, self.timers).register(
            self
        )
        self.suspects = SuspectTracker(
            self.quarantine.registry, self.quarantine.parts, self.clock
        ).register(self)
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
            budget,
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
        """Register the components that exchange data with other instances."""
        settings, clock, timers = self.settings, self.clock, self.timers
        boot = clock.wall_ms()
        secret = _peer_secret(settings)
        self.peers = PeerNetwork(settings, secret, self.view, boot, clock, timers).register(self)
        self.probes = Probes(settings, self.view, clock, timers).register(self)
        self.usage = UsageRecorder(settings, self.view, boot, clock, timers).register(self)
        self.scheduler_sync = SchedulerStateSync(
            settings, self.entry.scheduler, self.entry.handle_event, boot, clock, timers
        ).register(self)
        self.instance_list = InstanceListReader(settings, self.view, clock, timers).register(self)
        self.evacuations = EvacuationMonitor(
            self.entry.scheduler,
            self.entry.handle_event,
            self._upstream_data_centres,
            clock,
            timers,
            self.metrics,
        )

    def _upstream_data_centres(self) -> set[str]:
        members = self.view.members(self.clock.now_ms())
        return {m.entry.data_centre for m in members if m.entry.kind is not MemberKind.ENTRY}

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self.evacuations.replace(config.evacuated_data_centres.keys())

    def _add_log_components(self, config: FleetConfig) -> None:
        """Register the components that use the platform log and the operator endpoints.

        `config` is in force while the log holds no configuration.
        """
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
        self.operators = OperatorEndpoints(settings, self.configuration, clock).register(self)
        ConfigurationRestart(
            settings, config, self.operators, self.configuration, self.view, clock, timers
        ).register(self)
        FleetEndpoints(self.operators, self.view, self.quarantine, clock).register(self)
        TraceEndpoint(
            settings.instance_id, self.tracing.recent_traces, self.operators, self.view, timers
        ).register(self)
        OrderDispatcher(
            settings, self.operators, self.view, clock.wall_ms(), clock, timers
        ).register(self)
        UsageReporter(
            settings, self.operators, self.configuration, self.view, clock.wall_ms(), clock, timers
        ).register(self)

    def _add_gauges(self) -> None:
        add_gauge, add_counter = self.metrics.add_gauge, self.metrics.add_counter
        RequestGauges(self.entry, self.clock).add_to(self.metrics)
        add_memory_metrics(
            self.metrics,
            self.server,
            self.http_client,
            lambda: self.entry.attempts.buffered_bytes,
        )
        add_gauge(
            "ibispaddle_caller_connections",
            "Open caller connections.",
            lambda: self.server.listener.open_connections,
        )
        add_gauge(
            "ibispaddle_unsent_bytes",
            "Response bytes that callers have not read yet.",
            lambda: self.server.unsent_bytes,
        )
        add_gauge(
            "ibispaddle_upstream_connections",
            "Open upstream connections, without those in use by calls to the platform log.",
            lambda: self.http_client.open_connections - self.log.calls_in_flight,
        )
        add_gauge(
            "ibispaddle_runners_live",
            "Runners that accept new requests.",
            lambda: self._count_live(MemberKind.RUNNER),
        )
        add_gauge(
            "ibispaddle_instances_live",
            "Live instances, including this one.",
            lambda: self._count_live(MemberKind.ENTRY),
        )
        add_gauge(
            "ibispaddle_peer_connections",
            "Instances with an authenticated peer connection.",
            lambda: len(self.peers.connected_peers),
        )
        add_counter(
            "ibispaddle_peer_sent_bytes_total",
            "Bytes sent to other instances.",
            lambda: self.peers.transport.traffic.bytes_out,
        )
        add_counter(
            "ibispaddle_peer_received_bytes_total",
            "Bytes received from other instances.",
            lambda: self.peers.transport.traffic.bytes_in,
        )
        add_gauge(
            "ibispaddle_log_available",
            "Whether the platform log is available: 1 if it is, else 0.",
            lambda: float(self.log.is_available),
        )
        add_gauge(
            "ibispaddle_log_read_bytes",
            "Bytes read from the platform log since the instance started.",
            lambda: self.log.bytes_read,
        )
        self.metrics.add_labelled_counter(
            "ibispaddle_log_appends_total",
            "Completed appends to the platform log, by stream and result.",
            lambda: [
                ({"stream": stream, "result": result}, count)
                for (stream, result), count in self.log.append_results.items()
            ],
        )
        add_gauge(
            "ibispaddle_claim_table_keys",
            "Idempotency keys in the claim tables of the followed partitions.",
            lambda: self.committers.key_count,
        )
        add_gauge(
            "ibispaddle_claim_partitions",
            "Claim partitions that this instance follows as a committer.",
            lambda: self.committers.partition_count,
        )
        add_counter(
            "ibispaddle_peer_sent_messages_total",
            "Messages sent to other instances.",
            lambda: self.peers.transport.traffic.frames_out,
        )
        add_counter(
            "ibispaddle_peer_received_messages_total",
            "Messages received from other instances.",
            lambda: self.peers.transport.traffic.frames_in,
        )
        add_gauge(
            "ibispaddle_upstream_calls",
            "HTTP calls in flight, without those to the platform log.",
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
        self._drain_timeout_at_ms = self.clock.now_ms() + self.settings.drain_timeout_ms
        log_event(logevents.INSTANCE_DRAINING, requests=self.server.active_requests)
        self.fire(drain_started(), "*")
        Drain(
            self.server,
            self.clock,
            self.timers,
            self._is_busy,
            self._drain_deadline_ms,
            self._finish_drain,
        ).begin()

    def _is_busy(self) -> bool:
        busy = self.server.active_requests + self.server.unsent_connections
        return busy + self.services.calls_in_flight > 0

    def _drain_deadline_ms(self) -> int:
        deadlines = (self.entry.latest_deadline_ms, self.services.latest_deadline_ms)
        return max(self._drain_timeout_at_ms, *deadlines)

    def _finish_drain(self, is_complete: bool) -> None:
        if not is_complete:
            log_event(logevents.DRAIN_TIMEOUT, requests=self.server.active_requests)
            self.exit_status = 1
        self.fire(drain_completed("requests"), "*")
        flush_deadline_ms = self.clock.now_ms() + FLUSH_TIMEOUT_MS

        def stop_when_flushed() -> None:
            is_unfinished = self.http_client.calls_in_flight or self._is_busy()
            if is_unfinished and self.clock.now_ms() < flush_deadline_ms:
                self.timers.after(DRAIN_POLL_MS, stop_when_flushed)
                return
            log_event(logevents.INSTANCE_STOPPED, exit_status=self.exit_status)
            self.stop()

        self.timers.after(DRAIN_POLL_MS, stop_when_flushed)


def _peer_secret(settings: InstanceSettings) -> bytes:
    if not settings.peer_secret_file:
        return b""
    return Path(settings.peer_secret_file).read_bytes().strip()


def _fingerprint_key(settings: InstanceSettings) -> bytes:
    return _peer_secret(settings) or DEFAULT_FINGERPRINT_KEY
