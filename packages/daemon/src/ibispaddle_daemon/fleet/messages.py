"""Messages between an instance and its hubs, in MessagePack."""

from collections.abc import Mapping

import msgspec
from ibispaddle_core.gossip import Hello, Proof
from ibispaddle_core.scheduling import PeerWork, UpstreamWork
from result import Err, Ok, Result

from ..peer_frames import HEADER, PeerFormatError

WorkRow = tuple[str, int, int, int, int]  # Upstream, reading in ms, requests, tokens, parts.


class WorkUpdate(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Tell what the sender has in flight, in place of what it told before."""

    rows: tuple[WorkRow, ...]
    avoided: tuple[str, ...]
    first_attempts: int = 0  # Since the start of the sender, like the repeats.
    retries: int = 0


class WorkQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Ask for the work of all others, to choose an upstream of a service."""

    number: int
    service: str = ""


class WorkSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Answer with the work of all instances but the one that asked."""

    number: int
    rows: tuple[WorkRow, ...]
    avoided: tuple[str, ...]
    # First attempts and repeats of the others in the window of the retry budget, if the hub knows them.
    attempts: tuple[int, int] | None = None
    turn: int = 0  # Instances that choose at the same time and go before the one that asked.


class TopicQuery(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Ask for news of topics, each with the offset of the next record or None for all keys."""

    number: int
    offsets: dict[str, int | None]


class TopicDelta(msgspec.Struct, frozen=True, array_like=True):
    """Hold what is new in one topic, and the time since the store confirmed it."""

    kind: str  # "newest", "changes" or "gone".
    age_ms: int
    position: int = 0
    records: tuple[tuple[str, bytes | None], ...] = ()


class TopicResponse(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answer a question with `TopicDelta` by topic; topics that the hub does not have are left out."""

    number: int
    waited_ms: int  # Time for which the question waited for news.
    is_store_unavailable: bool  # Whether the hub does not reach the store.
    is_compressed: bool
    body: bytes


class _Hello(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    protocol: int
    instance_id: str
    boot: int
    nonce: bytes


class _Proof(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    mac: bytes


FleetMessage = WorkUpdate | WorkQuery | WorkSnapshot | TopicQuery | TopicResponse
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FleetMessage | _Hello | _Proof)


class FleetCodec:
    """Translate messages to frames and back."""

    def encode(self, message: FleetMessage | Hello | Proof) -> bytes:
        """Return the message as one frame."""
        match message:
            case Hello(protocol, instance_id, boot, nonce):
                data = _ENCODER.encode(_Hello(protocol, instance_id, boot, nonce))
            case Proof(mac):
                data = _ENCODER.encode(_Proof(mac))
            case _:
                data = _ENCODER.encode(message)
        return HEADER.pack(len(data)) + data

    def decode(self, data: bytes) -> Result[FleetMessage | Hello | Proof, PeerFormatError]:
        """Read the content of one frame."""
        try:
            message = _DECODER.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return Err(PeerFormatError(str(exc)))
        match message:
            case _Hello(protocol, instance_id, boot, nonce):
                return Ok(Hello(protocol, instance_id, boot, nonce))
            case _Proof(mac):
                return Ok(Proof(mac))
        return Ok(message)


def encode_work_rows(work: Mapping[str, UpstreamWork]) -> tuple[WorkRow, ...]:
    """Return work by upstream as it is sent."""
    return tuple(
        (name, round(item.prefill_ms), item.requests, item.kv_tokens, item.parts)
        for name, item in work.items()
    )


def decode_work_rows(
    instance: str, rows: tuple[WorkRow, ...], avoided: tuple[str, ...], turn: int = 0
) -> PeerWork:
    """Return the work that an instance told, or that a picture holds."""
    work = {
        name: UpstreamWork(float(prefill_ms), requests, tokens, parts)
        for name, prefill_ms, requests, tokens, parts in rows
    }
    return PeerWork(instance, work, avoided, turn)
