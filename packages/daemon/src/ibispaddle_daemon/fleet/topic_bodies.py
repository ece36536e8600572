"""The content of queries for topics and of their responses."""

import zlib
from collections.abc import Mapping

import msgspec
from ibispaddle_core.topics import (
    ChangesPage,
    KeyedRecord,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReadNewest,
    TopicMirror,
    TopicPosition,
)

from .messages import TopicDelta, TopicQuery, TopicResponse

# Larger responses are compressed, because a hub may have little bandwidth. A configuration shrinks to
# a tenth of its size.
MIN_COMPRESSED_BYTES = 1_024
COMPRESSION_LEVEL = 1
MAX_DECOMPRESSED_BYTES = 67_108_864

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(dict[str, TopicDelta])

TopicRead = NewestPage | ChangesPage | OffsetExpired


def build_query(
    query_id: int, positions: Mapping[str, TopicPosition | None], wanted_age_ms: int | None
) -> TopicQuery:
    """Return the query of an instance that has the topics up to some positions."""
    known = {topic: position for topic, position in positions.items() if position is not None}
    offsets = dict.fromkeys(positions) | {topic: item.offset for topic, item in known.items()}
    eras = {topic: item.era for topic, item in known.items()}
    return TopicQuery(query_id, offsets, wanted_age_ms, eras)


def read_call(query: TopicQuery, topic: str, mirror: TopicMirror) -> ReadNewest | ReadChanges:
    """Return the call to a mirror that answers a query for a topic.

    Offsets of an earlier era than the mirror's are of no use, so the answer has all keys. A sender that runs an
    earlier release states no era.
    """
    offset, era = query.offsets[topic], mirror.position.era if mirror.position is not None else 0
    query_era = era if query.eras is None else query.eras.get(topic, 0)
    if offset is None or query_era < era:
        return ReadNewest()
    return ReadChanges(offset, 0, query_era)


def is_ahead(query: TopicQuery, topic: str, mirror: TopicMirror) -> bool:
    """Return whether the sender of a query has more of a topic than a mirror."""
    call = read_call(query, topic, mirror)
    if isinstance(call, ReadNewest) or mirror.position is None:
        return False
    return call.position > mirror.position


def build_delta(
    query: TopicQuery, topic: str, mirror: TopicMirror, age_ms: int
) -> TopicDelta | None:
    """Return the answer to a query for a topic, or None if the mirror has no newer data."""
    match mirror.answer(read_call(query, topic, mirror)):
        case NewestPage(records, _, end, era):
            return TopicDelta("newest", age_ms, end, _key_values(records), era)
        case ChangesPage(records, next_offset, _, era):
            return TopicDelta("changes", age_ms, next_offset, _key_values(records), era)
        case OffsetExpired():
            return expired_delta(age_ms)
    return None


def expired_delta(age_ms: int) -> TopicDelta:
    """Return the answer after which the sender of a query gets all keys of a topic."""
    return TopicDelta("gone", age_ms)


def build_response(
    query_id: int, deltas: Mapping[str, TopicDelta], is_store_unavailable: bool
) -> TopicResponse:
    """Return the response with the answers for some topics."""
    data = _ENCODER.encode(deltas)
    is_compressed = len(data) >= MIN_COMPRESSED_BYTES
    body = zlib.compress(data, COMPRESSION_LEVEL) if is_compressed else data
    return TopicResponse(query_id, 0, is_store_unavailable, is_compressed, body)


def decode_response(message: TopicResponse) -> dict[str, TopicDelta]:
    """Return the answers by topic; raise one of `DECODE_ERRORS` or `zlib.error` if they are invalid."""
    data = message.body
    if message.is_compressed:
        data = zlib.decompressobj().decompress(data, MAX_DECOMPRESSED_BYTES)
    return _DECODER.decode(data)


def decode_delta(delta: TopicDelta) -> TopicRead | None:
    """Return the answer for a topic, or None if its kind is unknown."""
    records = tuple(KeyedRecord(key, value, delta.position) for key, value in delta.records)
    match delta.kind:
        case "newest":
            return NewestPage(records, False, delta.position, delta.era)
        case "changes":
            return ChangesPage(records, delta.position, delta.position, delta.era)
        case "gone":
            return OffsetExpired(delta.era)
    return None


def _key_values(records: tuple[KeyedRecord, ...]) -> tuple[tuple[str, bytes | None], ...]:
    return tuple((record.key, record.value) for record in records)
