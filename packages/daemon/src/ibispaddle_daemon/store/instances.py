"""Directory of the instances, each of which registers itself in the store."""

from collections.abc import Callable, Sequence

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.decoding import DECODE_ERRORS, is_endpoint
from ibispaddle_core.hubs import Candidate, HubRanking
from ibispaddle_core.settings import GatewaySettings
from ibispaddle_core.topics import TopicUpdate

from ..fleet import TopicRelay
from ..logs import log_event
from ..timers import TimerQueue
from .codec import StoreCodec
from .follower import TopicFollower
from .writer import TopicWriter

TOPIC = "keyed.instances"
# Long-poll wait: maximum time for which the store holds a read while the list has not changed.
LONG_POLL_WAIT_MS = 1_500
# Minimum time between the starts of two reads, which limits the load on the store when the list changes
# often.
READ_INTERVAL_MS = 400
# Delay of the first read when the whole fleet starts for the first time, so that all instances have
# registered by then.
FIRST_START_DELAY_MS = 600
# Time after which an instance continues without the list of the others.
START_TIMEOUT_MS = 300
# Interval at which every instance checks for lost instances, of which only the first hub finds any, and
# removes them until they are off the list or have returned. Also the minimum time between two writes of the
# own record, unless the store refuses it.
SWEEP_INTERVAL_MS = 5_000
WRITE_RETRY_MS = 500
# Added to the processor time in the record, which all releases rank by: instances of this release come before
# those of earlier ones with as much, which may not notice that their own data is outdated.
RELEASE_PRECEDENCE_CORES = 0.1


class _InstanceRecord(msgspec.Struct, frozen=True):
    """The record of an instance in the store."""

    peer_address: str
    data_centre: str
    capacity: float = 1.0
    delegate_address: str = ""


class InstanceDirectory(BaseComponent):
    """Register this instance and update the hub ranking from the list of instances.

    An instance that dies stays listed at first, because it is expected to return. The instances that
    query it exclude it while it does not respond. After repeated failures the first hub removes it from
    the list, and it registers itself again when it returns. So does an instance whose record a restored store
    lacks; the others keep it meanwhile.
    """

    channel = "instance_directory"

    def __init__(
        self,
        settings: GatewaySettings,
        peer_address: str,
        codec: StoreCodec,
        ranking: HubRanking,
        clock: Clock,
        timers: TimerQueue,
        relay: TopicRelay,
        delegate_address: str = "",
    ) -> None:
        super().__init__()
        # Called with all listed instances when the list has changed.
        self.on_instances: Callable[[Sequence[Candidate]], None] = lambda candidates: None
        self._instance_id = settings.instance.instance_id
        self._is_first_start = settings.is_first_start
        # Rounded like in the ranking, so that the difference counts.
        capacity = round(settings.capacity, 1) + RELEASE_PRECEDENCE_CORES
        self._own_record = _InstanceRecord(
            peer_address, settings.instance.data_centre, capacity, delegate_address
        )
        self._ranking = ranking
        self._clock, self._timers, self._relay = clock, timers, relay
        self._records: dict[str, _InstanceRecord] = {}
        self._last_write_ms: int | None = None
        self._writer = TopicWriter(TOPIC, settings.store_url, codec, clock).register(self)
        self._topic = TopicFollower(
            TOPIC,
            settings.store_url,
            codec,
            LONG_POLL_WAIT_MS,
            READ_INTERVAL_MS,
            self._apply,
            clock,
            timers,
            relay,
            is_urgent=False,
        ).register(self)

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._timers.after(SWEEP_INTERVAL_MS, self._delist_lost_instances)
        if self._is_first_start:
            self._write_own()
            self._timers.after(FIRST_START_DELAY_MS, self._topic.read_store)
            self._timers.after(FIRST_START_DELAY_MS + START_TIMEOUT_MS, self._relay.start_reading)
        else:
            self._topic.read_store()
            self._timers.after(START_TIMEOUT_MS, self._relay.start_reading)

    def _delist_lost_instances(self) -> None:
        self._timers.after(SWEEP_INTERVAL_MS, self._delist_lost_instances)
        for name in self._ranking.instances_to_delist(self._clock.now_ms()):
            if name in self._records:
                log_event(logevents.INSTANCE_DELISTED, delisted=name)
                # The next sweep repeats a removal that failed, unless the instance has returned. A removal
                # that arrives later does no harm: the instance writes its record again in `_apply`.
                self._writer.write(name, None, lambda: None)

    def _write_own(self) -> None:
        self._last_write_ms = self._clock.now_ms()
        value = msgspec.json.encode(self._own_record)
        self._writer.write(self._instance_id, value, self._retry_own)

    def _retry_own(self) -> None:
        # Repeating a write that did succeed does no harm, since the value is the same.
        self._timers.after(WRITE_RETRY_MS, self._write_own)

    def _apply(self, update: TopicUpdate) -> None:
        if update.is_snapshot and not update.is_restored:
            self._records.clear()
        for key, value in update.values.items():
            self._records.pop(key, None)
            if value is None:
                continue
            try:
                record = msgspec.json.decode(value, type=_InstanceRecord)
            except DECODE_ERRORS:
                record = None
            if record is None or not is_endpoint(record.peer_address):
                log_event(logevents.ENTRY_UNREADABLE, key=key[:80], size=len(value))
            else:
                self._records[key] = record
        if update.values or update.is_snapshot:
            self._rank()
        is_lost = update.is_restored and self._instance_id not in update.values
        is_due = self._last_write_ms is None or (
            self._clock.now_ms() - self._last_write_ms >= SWEEP_INTERVAL_MS
        )
        is_outdated = self._records.get(self._instance_id) != self._own_record
        if is_lost or (is_outdated and (is_due or update.is_restored)):
            self._write_own()
        self._relay.start_reading()

    def _rank(self) -> None:
        known = {**self._records, self._instance_id: self._own_record}
        candidates = [
            Candidate(
                name, item.peer_address, item.data_centre, item.capacity, item.delegate_address
            )
            for name, item in known.items()
        ]
        self._ranking.replace_candidates(candidates)
        self.on_instances(candidates)
