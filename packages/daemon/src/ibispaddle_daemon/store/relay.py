"""Readings of the store that instances of a data centre pass on to each other.

The calls of many instances that all read the same topics add up. From `MIN_INSTANCES` on, two
instances of a data centre read the store, and the others ask one of them over the connections
between instances. The one that asks knows that the answer was made after its question, so the age
that the answer states never makes a configuration look younger than it is.
"""

import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.gossip import StateReply, StateRequest
from ibispaddle_core.membership import MembershipView, choose
from ibispaddle_core.topics import (
    ChangesRead,
    Gone,
    KeyedRecord,
    NewestRead,
    ReadChanges,
    ReadNewest,
    TopicMirror,
)

from ..events import peer_send
from ..logs import log_event
from ..timers import TimerQueue

COMPONENT = "topics"
# Below it, all instances read the store, which is simpler and as cheap.
MIN_INSTANCES = 6
RELAYS = 2
# How long a relay holds a question back while there is nothing new, as the store does; it reads the
# store several times meanwhile.
HOLD_MS = 900
# A relay whose answers do not come in this time is gone or cut off.
ANSWER_TIMEOUT_MS = HOLD_MS + 400
# Time for which a relay that failed is not asked again.
SUSPECT_MS = 3_000
# Age of a reading from which it is not passed on: the relay itself does not reach the store.
MAX_AGE_MS = 1_500
# Time after the last question for which an instance goes on to read as often as a relay.
FOLLOWED_MS = 2 * HOLD_MS
# Configurations are compressed to a tenth; a relay may have little bandwidth.
MIN_COMPRESSED_BYTES = 1_024
COMPRESSION_LEVEL = 1
MAX_ANSWER_BYTES = 67_108_864


class _Question(msgspec.Struct, frozen=True, array_like=True):
    topic: str
    offset: int | None  # None asks for the newest record of each key.
    after: str | None = None


class _Answer(msgspec.Struct, frozen=True, array_like=True):
    kind: str  # "newest", "changes", "gone" or "unavailable".
    age_ms: int = 0
    position: int = 0
    records: tuple[tuple[str, bytes | None], ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_QUESTIONS = msgspec.msgpack.Decoder(_Question)
_ANSWERS = msgspec.msgpack.Decoder(_Answer)
_UNAVAILABLE = _Answer("unavailable")


@dataclass(frozen=True)
class RelayedRead:
    """Hold a relay's answer and the time since the store confirmed it."""

    answer: NewestRead | ChangesRead | Gone
    age_ms: int


@dataclass(frozen=True)
class _Published:
    """Hold what this instance passes on of a topic, and when the store confirmed it."""

    mirror: TopicMirror
    confirmed_ms: int


@dataclass(frozen=True)
class _Held:
    peer_id: str
    request_id: int
    question: _Question
    due_ms: int


class TopicRelay(BaseComponent):
    """Ask the relays of the data centre, and answer the instances that ask this one."""

    channel = "topic_relay"

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        view: MembershipView,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._instance_id, self._data_centre, self._view = instance_id, data_centre, view
        self._clock, self._timers = clock, timers
        self._topics: dict[str, _Published] = {}
        self._held: list[_Held] = []  # Questions that wait for news.
        self._question_ms: int | None = None  # Time of the last question of another instance.
        # Own questions by number, with what takes the answer.
        self._callbacks: dict[int, Callable[[RelayedRead | None], None]] = {}
        self._number = 0
        self._suspected: dict[str, int] = {}
        self._relay_id: str | None = None

    # Reading through a relay

    def choose_relay(self) -> str | None:
        """Return the instance to ask, or None if this one has to read the store."""
        now_ms = self._clock.now_ms()
        local = self._view.ranked_instances(now_ms, self._data_centre)
        if len(local) < MIN_INSTANCES:
            return self._note_relay(None)
        relays = choose(f"{COMPONENT}/{self._data_centre}", local, RELAYS)
        if self._instance_id in relays:
            return self._note_relay(None)
        usable = [name for name in relays if self._suspected.get(name, 0) <= now_ms]
        return self._note_relay(next(iter(choose(self._instance_id, usable)), None))

    def _note_relay(self, relay_id: str | None) -> str | None:
        if relay_id != self._relay_id:
            self._relay_id = relay_id
            log_event(logevents.RELAY_CHANGED, relay=relay_id)
        return relay_id

    def ask(
        self,
        relay_id: str,
        topic: str,
        call: ReadNewest | ReadChanges,
        callback: Callable[[RelayedRead | None], None],
    ) -> None:
        """Ask a relay; the callback gets None if the store has to be read instead."""
        match call:
            case ReadNewest(after):
                question = _Question(topic, None, after)
            case ReadChanges(offset):
                question = _Question(topic, offset)
        self._number += 1
        number = self._number
        self._callbacks[number] = callback
        message = StateRequest(COMPONENT, number, _ENCODER.encode(question))
        self.fire(peer_send(relay_id, message), "*")

        def give_up() -> None:
            waiting = self._callbacks.pop(number, None)
            if waiting is not None:
                self._suspect(relay_id, "no answer")
                waiting(None)

        self._timers.after(ANSWER_TIMEOUT_MS, give_up)

    def _suspect(self, relay_id: str, reason: str) -> None:
        self._suspected[relay_id] = self._clock.now_ms() + SUSPECT_MS
        log_event(logevents.RELAY_FAILED, relay=relay_id, reason=reason)

    def _take_reply(self, relay_id: str, reply: StateReply) -> None:
        callback = self._callbacks.pop(reply.request_id, None)
        if callback is None:
            return
        try:
            answer = _decode(reply.body)
        except (msgspec.DecodeError, zlib.error) as exc:
            self._suspect(relay_id, str(exc))
            callback(None)
            return
        read = _read_of(answer)
        if read is None or read.age_ms > MAX_AGE_MS:
            self._suspect(relay_id, f"{answer.kind}, {answer.age_ms} ms old")
            read = None
        callback(read)

    # Answering others

    @property
    def is_asked(self) -> bool:
        """Return whether other instances follow the readings of this one."""
        return (
            self._question_ms is not None and self._clock.now_ms() < self._question_ms + FOLLOWED_MS
        )

    def publish(self, topic: str, mirror: TopicMirror, confirmed_ms: int) -> None:
        """Pass a reading of the store on to the instances that wait for one."""
        self._topics[topic] = _Published(mirror, confirmed_ms)
        waiting = [held for held in self._held if held.question.topic == topic]
        self._held = [held for held in self._held if held.question.topic != topic]
        bodies: dict[_Question, bytes] = {}
        for held in waiting:
            if held.question not in bodies:
                bodies[held.question] = _encode(self._answer(held.question))
            self._reply(held.peer_id, held.request_id, bodies[held.question])

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: object) -> None:
        match message:
            case StateReply(component) if component == COMPONENT:
                self._take_reply(instance_id, message)
            case StateRequest(component, request_id, body) if component == COMPONENT:
                self._take_question(instance_id, request_id, body)

    def _take_question(self, peer_id: str, request_id: int, body: bytes) -> None:
        try:
            question = _QUESTIONS.decode(body)
        except msgspec.DecodeError as exc:
            log_event(logevents.RELAY_FAILED, relay=peer_id, reason=str(exc))
            return
        self._question_ms = self._clock.now_ms()
        answer = self._answer(question)
        published = self._topics.get(question.topic)
        has_news = published is not None and published.mirror.has_news(_call_of(question))
        if answer is _UNAVAILABLE or has_news:
            self._reply(peer_id, request_id, _encode(answer))
            return
        now_ms = self._clock.now_ms()
        self._held.append(_Held(peer_id, request_id, question, now_ms + HOLD_MS))
        self._timers.after(HOLD_MS, self._expire)

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        overdue = [held for held in self._held if held.due_ms <= now_ms]
        self._held = [held for held in self._held if held.due_ms > now_ms]
        for held in overdue:
            self._reply(held.peer_id, held.request_id, _encode(self._answer(held.question)))

    def _reply(self, peer_id: str, request_id: int, body: bytes) -> None:
        self.fire(peer_send(peer_id, StateReply(COMPONENT, request_id, body)), "*")

    def _answer(self, question: _Question) -> _Answer:
        published = self._topics.get(question.topic)
        if published is None:
            return _UNAVAILABLE
        age_ms = self._clock.now_ms() - published.confirmed_ms
        if age_ms > MAX_AGE_MS:
            return _UNAVAILABLE
        match published.mirror.answer(_call_of(question)):
            case NewestRead(records, _, end):
                return _Answer("newest", age_ms, end, _pairs(records))
            case ChangesRead(records, next_offset, _):
                return _Answer("changes", age_ms, next_offset, _pairs(records))
            case Gone():
                return _Answer("gone", age_ms)
        return _UNAVAILABLE


def _encode(answer: _Answer) -> bytes:
    """Return the encoded answer behind a byte that tells whether it is compressed."""
    data = _ENCODER.encode(answer)
    if len(data) < MIN_COMPRESSED_BYTES:
        return b"\0" + data
    return b"\1" + zlib.compress(data, COMPRESSION_LEVEL)


def _decode(body: bytes) -> _Answer:
    data = body[1:]
    if body[:1] == b"\1":
        data = zlib.decompressobj().decompress(data, MAX_ANSWER_BYTES)
    return _ANSWERS.decode(data)


def _call_of(question: _Question) -> ReadNewest | ReadChanges:
    if question.offset is None:
        return ReadNewest(question.after)
    return ReadChanges(question.offset, HOLD_MS)


def _pairs(records: tuple[KeyedRecord, ...]) -> tuple[tuple[str, bytes | None], ...]:
    return tuple((record.key, record.value) for record in records)


def _read_of(answer: _Answer) -> RelayedRead | None:
    position, age_ms = answer.position, answer.age_ms
    records = tuple(KeyedRecord(key, value, position) for key, value in answer.records)
    read: Mapping[str, NewestRead | ChangesRead | Gone] = {
        "newest": NewestRead(records, False, position),
        "changes": ChangesRead(records, position, position),
        "gone": Gone(),
    }
    known = read.get(answer.kind)
    return None if known is None else RelayedRead(known, age_ms)
