"""Components and life cycle of an instance that forwards requests by route."""

import random
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from socket import socket
from typing import Any

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock, SystemClock
from ibispaddle_core.delegation import DelegateSelection
from ibispaddle_core.evacuations import Evacuation, EvacuationRecords
from ibispaddle_core.forwarding import DrainAdmission, MemoryBudget
from ibispaddle_core.hubs import HubRanking
from ibispaddle_core.membership import Registration
from ibispaddle_core.routing import ConfigFreshness, RoutingConfig
from ibispaddle_core.settings import FleetConfig, GatewaySettings, SettingsError
from ibispaddle_core.topics import TopicUpdate

from .delegation import DelegateListener, DelegationReadiness, Delegator, Isolation, Prober
from .engine_memory import EngineMemoryCodec
from .evacuations import EvacuationMonitor
from .events import drain_completed, drain_started, readiness_changed
from .fleet import FleetLinks, QuarantineExchange, TopicRelay, WorkExchange
from .forwarding import Forwarder, ForwardingCodec
from .http_client import HttpClient
from .http_server import HttpServer
from .listening import Listeners, open_first_free, open_listeners
from .logs import log_event, log_handler_failure
from .memory_metrics import add_memory_metrics
from .metrics import Metrics, Status
from .stopping import Drain, DrainableServers
from .store import (
    InstanceDirectory,
    QuarantineDirectory,
    StoreCodec,
    TopicFollower,
    UpstreamDirectory,
)
from .timers import TimerQueue

# Interval at which the age of the configuration is checked, and a requested reload is carried out.
CHECK_INTERVAL_MS = 100
# Settings that apply without a restart.
RELOADABLE_FIELDS = frozenset({"revocation_ms", "unready_ms"})
# Time after the signal to stop within which requests are admitted even if they may take longer than the
# rest of the grace time. Callers may still be routed here.
MAX_ADMIT_ALL_MS = 3_000
# Time at the end of a drain in which the last responses are written.
FLUSH_MS = 150
# Long-poll wait for the configuration, as a fraction of the time within which it must be in force. A read
# confirms the configuration only as of the start of the read, so a long wait makes it appear older.
CONFIG_WAIT_FRACTION = 0.2


@dataclass(frozen=True)
class GatewayCodecs:
    """The codecs of one platform.

    `config` parses the operators' configuration record and returns None if it is unusable. `evacuation`
    parses any other record of the same topic and returns None if it asks for no evacuation.
    """

    requests: ForwardingCodec
    memory: EngineMemoryCodec
    store: StoreCodec
    registration: Callable[[str, bytes], Registration | None]
    config: Callable[[bytes], tuple[RoutingConfig, FleetConfig] | None]
    evacuation: Callable[[str, bytes], Evacuation | None]
    upstream_topic: str
    config_topic: str
    config_key: str


def _open_with_spares(address: str, spare_ports: Sequence[int]) -> socket:
    """Return a socket that listens on an address, or on a spare port if that is taken."""
    host, _, port = address.rpartition(":")
    sock = open_first_free([address, *(f"{host}:{spare}" for spare in spare_ports)])
    opened = sock.getsockname()[1]
    if int(port) not in (0, opened):
        log_event(logevents.PORT_REPLACED, address=address, spare=opened)
    return sock


class Gateway(BaseComponent):
    """The root component of an instance."""

    channel = "gateway"

    def __init__(
        self,
        settings: GatewaySettings,
        codecs: GatewayCodecs,
        clock: Clock | None = None,
        listeners: Listeners = (),
        reload: Callable[[], GatewaySettings] | None = None,
    ) -> None:
        """Create the components.

        `listeners` are listening sockets for callers and for readiness checks; without them, sockets are
        opened here. `reload` reads the settings again and may raise `SettingsError` or `OSError`.
        """
        super().__init__()
        self.settings, self._codecs = settings, codecs
        addresses = (settings.instance.listen, settings.status_listen)
        self._listen_bind, self._status_bind = listeners or open_listeners(addresses)
        self.clock = clock or SystemClock()
        self._config_version: int | None = None
        self._config_value = b""  # The record in force.
        # Whether the operators may give out the version in force again, as the store has lost its record.
        self._may_repeat_version = False
        self._is_newest_config_usable = True
        self._is_draining = False
        self._was_ready = self._is_config_fresh = False
        self._read_settings = reload
        self._is_reload_requested = False
        EPoll().register(self)
        self.timers = TimerQueue(self.clock).register(self)
        self.metrics = Metrics()
        self._budget = MemoryBudget.from_settings(settings.instance)
        self.http_client = HttpClient(
            self.clock, max_buffered_bytes=self._budget.buffered_calls
        ).register(self)
        self.status = Status(self.metrics, ("instance_list", "configuration")).register(self)
        self._add_request_components()
        self._add_fleet_components()

    def _add_request_components(self) -> None:
        settings, clock, timers = self.settings, self.clock, self.timers
        self.isolation = Isolation(clock, data_centre=settings.instance.data_centre)
        self.isolation.subscribe(self._on_isolation_changed)
        Prober(self.isolation, self._codecs.requests, clock, timers).register(self)
        self.delegation_readiness = DelegationReadiness(self.isolation, timers).register(self)
        self.forwarder = Forwarder(
            settings.instance.instance_id,
            self.http_client,
            self._codecs.requests,
            self._codecs.memory,
            clock,
            timers,
            self.metrics,
            self._budget,
            settings.instance.data_centre,
            self.isolation,
        ).register(self)
        limits = FleetConfig().limits
        self.server = HttpServer(
            self._listen_bind,
            clock,
            timers,
            limits,
            channel="front",
            channel_of=lambda exchange: self.forwarder.channel,
            budget=self._budget,
            paused_calls=lambda: self.http_client.paused_calls,
        ).register(self)
        self.delegate_listener: DelegateListener | None = None
        bind = self._open_delegate_socket()
        if bind is not None:
            self.delegate_listener = DelegateListener(
                bind,
                self._codecs.requests,
                clock,
                timers,
                limits,
                self.server,
                self.forwarder.channel,
            ).register(self)
        self.status_server = HttpServer(
            self._status_bind,
            clock,
            timers,
            limits,
            channel="status_front",
            channel_of=lambda exchange: self.status.channel,
        ).register(self)
        add_memory_metrics(
            self.metrics,
            self.server,
            self.http_client,
            lambda: self.forwarder.incomplete_response_bytes,
        )
        self.metrics.add_gauge(
            "ibispaddle_requests_in_flight",
            "Requests in flight.",
            lambda: self.forwarder.requests_in_flight,
        )

    def _open_delegate_socket(self) -> socket | None:
        """Return the socket for delegated requests, or None if the instance takes none.

        An instance without one serves its own callers nevertheless.
        """
        address = self.settings.delegate_listen
        if not address:
            return None
        try:
            # From the other end than for `peer_listen`.
            return _open_with_spares(address, self.settings.spare_ports[::-1])
        except OSError as exc:
            log_event(logevents.PORT_REPLACED, address=address, spare=None, reason=str(exc))
            return None

    def _add_fleet_components(self) -> None:
        settings, clock, timers = self.settings, self.clock, self.timers
        instance, store = settings.instance, self._codecs.store
        ranking = HubRanking(instance.instance_id)
        peer_socket = _open_with_spares(instance.peer_listen, settings.spare_ports)
        self.links = FleetLinks(
            instance, clock.wall_ms(), ranking, clock, timers, peer_socket
        ).register(self)
        relay = TopicRelay(ranking, self.links, clock, timers, settings.in_force_ms).register(self)
        delegate_address = ""
        if self.delegate_listener is not None:
            delegate_address = self.delegate_listener.server.address
        directory = InstanceDirectory(
            settings,
            self.links.transport.address,
            store,
            ranking,
            clock,
            timers,
            relay,
            delegate_address,
        ).register(self)
        selection = DelegateSelection(instance.data_centre, random.Random())
        delegator = Delegator(
            instance.instance_id, self.forwarder, self._codecs.requests, clock, timers, selection
        )
        directory.on_instances = delegator.replace_instances
        self.forwarder.hand_over.delegator = delegator
        self.forwarder.hand_over.is_isolated = lambda: self.isolation.is_isolated
        self.delegation_readiness.has_delegate = selection.has_delegate
        self.isolation.subscribe(lambda is_isolated: selection.forget_failures())
        guard = self.forwarder.part_guard
        quarantine = QuarantineExchange(
            guard, ranking, self.links, clock, timers, instance.instance_id
        )
        WorkExchange(
            instance.instance_id,
            self.forwarder,
            ranking,
            self.links,
            clock,
            timers,
            quarantine,
        ).register(self)
        QuarantineDirectory(
            settings.store_url,
            store,
            guard,
            lambda: not ranking.hubs_before(clock.now_ms()),
            clock,
            timers,
            relay,
        ).register(self)
        self.upstreams = UpstreamDirectory(
            self._codecs.upstream_topic,
            settings.store_url,
            store,
            self._codecs.registration,
            clock,
            timers,
            relay,
            settings.in_force_ms,
        ).register(self)
        self._evacuation_records = EvacuationRecords(self._codecs.evacuation)
        self.evacuations = EvacuationMonitor(
            self.forwarder.scheduler,
            self.forwarder.handle_event,
            self.forwarder.listed_data_centres,
            clock,
            timers,
            self.metrics,
        )
        self.config_topic = TopicFollower(
            self._codecs.config_topic,
            settings.store_url,
            store,
            round(CONFIG_WAIT_FRACTION * settings.in_force_ms),
            0,
            self._on_operator_update,
            clock,
            timers,
            relay,
        ).register(self)

        self.metrics.add_gauge(
            "ibispaddle_peer_connections",
            "Instances with an authenticated connection.",
            lambda: self.links.connected_count,
        )

        self.metrics.add_gauge(
            "ibispaddle_quarantined_parts",
            "Parts of requests that are refused because they crash upstreams.",
            lambda: len(self.forwarder.part_guard.registry.quarantined_parts),
        )
        self.metrics.add_gauge(
            "ibispaddle_isolated",
            "1 while this instance reaches no upstream, else 0.",
            lambda: int(self.isolation.is_isolated),
        )
        self.metrics.add_counter(
            "ibispaddle_isolations_total",
            "Times that this instance has found that it reaches no upstream.",
            lambda: self.isolation.count,
        )
        pacing = self.forwarder.scheduler.pacing
        self.metrics.add_gauge(
            "ibispaddle_cold_upstreams",
            "Upstreams that are cold and get a limited number of requests.",
            lambda: pacing.cold.count(self.clock.now_ms()),
        )
        self.metrics.add_counter(
            "ibispaddle_cold_upstream_skips_total",
            "Times that a cold upstream without room was left out of a choice.",
            lambda: pacing.cold_skips,
        )

    # Configuration and evacuations

    def _check_state(self) -> None:
        """Check the age of the configuration, and reload the settings if requested."""
        self.timers.after(CHECK_INTERVAL_MS, self._check_state)
        if self._is_reload_requested:
            self._is_reload_requested = False
            self._reload_settings()
        is_fresh = self.forwarder.freshness.accepts_new_callers(self.clock.now_ms())
        if is_fresh is not self._is_config_fresh:
            self._is_config_fresh = is_fresh
            self.fire(readiness_changed("configuration", is_fresh), "*")

    def _on_operator_update(self, update: TopicUpdate) -> None:
        # Evacuations apply whether or not the configuration beside them is usable.
        for key in self._evacuation_records.apply(update):
            log_event(logevents.EVACUATION_UNREADABLE, key=key)
        self.evacuations.replace(self._evacuation_records.data_centres)
        self._on_config_update(update)

    def _on_config_update(self, update: TopicUpdate) -> None:
        value = update.values.get(self._codecs.config_key)
        decoded = None
        self._may_repeat_version |= update.is_restored
        if value is not None:
            decoded = self._codecs.config(value)
            self._is_newest_config_usable = decoded is not None
        if not self._is_newest_config_usable:
            # The configuration in force is outdated and may contain revoked keys, so it is not confirmed.
            if value is not None:
                log_event(logevents.CONFIG_UNUSABLE, size=len(value))
            return
        # Set before the configuration is applied, because that admits the waiting requests.
        self.forwarder.freshness = ConfigFreshness(
            self.config_topic.confirmed_ms, self.settings.revocation_ms
        )
        if decoded is not None and value is not None and value != self._config_value:
            self._apply_config(value, *decoded)

    def _apply_config(self, value: bytes, routing: RoutingConfig, fleet: FleetConfig) -> None:
        """Apply a record of the configuration, unless it is not newer than the one in force.

        A store that was restored has an older record until the operators write the newest one again, or
        another one with the same version.
        """
        in_force = self._config_version
        if in_force is not None and routing.version < in_force:
            log_event(logevents.CONFIG_OLDER, revision=routing.version, in_force=in_force)
            return
        if routing.version == in_force and not self._may_repeat_version:
            return
        self._config_version, self._config_value = routing.version, value
        self._may_repeat_version = False
        for server in self._servers:
            server.replace_limits(routing.limits)
        self.forwarder.replace_config(routing, fleet)
        if self.delegate_listener is not None:
            self.delegate_listener.admission.replace_version(routing.version)
        log_event(
            logevents.CONFIG_IN_FORCE,
            revision=routing.version,
            routes=len(routing.routes),
            keys=len(routing.workspaces),
            age_ms=self.forwarder.freshness.age_ms(self.clock.now_ms()),
        )

    def _reload_settings(self) -> None:
        if self._read_settings is None:
            return
        try:
            settings = self._read_settings()
        except (SettingsError, OSError) as exc:
            log_event(logevents.SETTINGS_REJECTED, reason=str(exc))
            return
        old = self.settings
        changed = {
            name
            for name in GatewaySettings.__struct_fields__
            if getattr(settings, name) != getattr(old, name)
        }
        in_force = changed & RELOADABLE_FIELDS
        self.settings = old.replace(**{name: getattr(settings, name) for name in in_force})
        # The store may be unavailable, so this does not wait for the next confirmation.
        self.forwarder.freshness = ConfigFreshness(
            self.forwarder.freshness.confirmed_ms, self.settings.revocation_ms
        )
        log_event(
            logevents.SETTINGS_RELOADED,
            in_force=sorted(in_force),
            after_restart=sorted(changed - in_force),
        )

    def _on_isolation_changed(self, is_isolated: bool) -> None:
        health = self.forwarder.scheduler.health
        if self.delegate_listener is not None:
            self.delegate_listener.admission.is_isolated = is_isolated
        if is_isolated:
            health.begin_isolation()
            self.forwarder.hand_over.begin_isolation()
            return
        health.end_isolation(self.isolation.unreached_since_ms)
        # Not now, because the event that ended the isolation may be in the course of processing.
        self.timers.after(0, self.forwarder.schedule_waiting)

    # Life cycle

    @handler("started", channel="*")
    def _on_started(self, *args: Any) -> None:
        signal.signal(signal.SIGHUP, self._on_sighup)
        self._check_state()
        log_event(logevents.INSTANCE_STARTED, listen=self.server.address)

    def _on_sighup(self, number: int, frame: object) -> None:
        # The signal may interrupt any code, so the settings are reloaded in the next `_check_state`.
        self._is_reload_requested = True

    @handler("readiness_changed", channel="*", priority=-1)
    def _on_readiness_changed(self, component: str, ready: bool) -> None:
        if self.status.is_ready and not self._was_ready:
            log_event(logevents.INSTANCE_READY)
        elif self._was_ready and not self.status.is_ready:
            age_ms = self.forwarder.freshness.age_ms(self.clock.now_ms())
            log_event(logevents.INSTANCE_UNREADY, component=component, config_age_ms=age_ms)
        self._was_ready = self.status.is_ready

    @handler("exception", channel="*")
    def _on_exception(self, kind: Any, value: Any, trace: list[str], **kwargs: Any) -> None:
        log_handler_failure(value, trace, kwargs)

    @handler("signal", channel="*")
    def _on_signal(self, number: int, stack: Any) -> None:
        if number in (signal.SIGTERM, signal.SIGINT) and not self._is_draining:
            self._is_draining = True
            now_ms = self.clock.now_ms()
            redirected_ms = now_ms + self.settings.unready_ms
            ends_ms = now_ms + self.settings.instance.drain_timeout_ms
            admits_all_ms = now_ms + min(self.settings.unready_ms, MAX_ADMIT_ALL_MS)
            self.forwarder.drain_admission = DrainAdmission(admits_all_ms, ends_ms)
            log_event(logevents.INSTANCE_DRAINING, requests=self._active_requests)
            self.fire(drain_started(), "*")
            Drain(
                DrainableServers(self._servers),
                self.clock,
                self.timers,
                self._is_busy,
                lambda: ends_ms,
                self._finish_drain,
                redirected_ms,
            ).begin()

    @property
    def _servers(self) -> tuple[HttpServer, ...]:
        """Return the servers for callers and for other instances' requests."""
        listener = self.delegate_listener
        return (self.server,) if listener is None else (self.server, listener.server)

    @property
    def _active_requests(self) -> int:
        return sum(server.active_requests for server in self._servers)

    def _is_busy(self) -> bool:
        return self._active_requests > 0 or any(s.unsent_connections for s in self._servers)

    def _finish_drain(self, is_complete: bool) -> None:
        if is_complete:
            self._stop()
            return
        log_event(logevents.DRAIN_TIMEOUT, requests=self._active_requests)
        self.forwarder.end_requests()
        self.timers.after(FLUSH_MS, self._stop)

    def _stop(self) -> None:
        self.fire(drain_completed("requests"), "*")
        log_event(logevents.INSTANCE_STOPPED, exit_status=0)
        self.stop()
