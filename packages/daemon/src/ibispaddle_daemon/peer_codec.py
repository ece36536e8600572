"""Serialization of the messages between instances: Cap'n Proto in length-prefixed frames."""

import pathlib
from typing import Any

import capnp
import msgspec
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.gossip import Digest, Hello, ListSeen, Proof, StateReply, StateRequest
from ibispaddle_core.idempotency import (
    BodyReply,
    BodyRequest,
    ClaimMessage,
    ClaimRequest,
    ClaimResponse,
    ClaimUpdate,
    ClaimUpdateAck,
)
from ibispaddle_core.quarantine import (
    Clearance,
    Death,
    Notice,
    NoticeReceived,
    PartChange,
    Suspicion,
)
from ibispaddle_core.usage import Counts, UsageAck, UsageSync
from result import Err, Ok, Result

from .claim_codec import claim_fields, read_claim_message
from .peer_frames import HEADER, PeerFormatError

Message = (
    Hello
    | Proof
    | Digest
    | StateRequest
    | StateReply
    | UsageSync
    | UsageAck
    | Notice
    | NoticeReceived
    | ListSeen
    | ClaimMessage
)

# Limits how often a message can be traversed through several pointers to the same bytes.
MAX_TRAVERSAL_FACTOR = 4

_PART_ENCODER = msgspec.msgpack.Encoder()
_PART_DECODER = msgspec.msgpack.Decoder(tuple[PartChange, ...])

_schema: Any = capnp.load(str(pathlib.Path(__file__).with_name("peers.capnp")))


def encode(message: Message) -> bytes:
    """Return the message as one frame; raise `TypeError` if its class is not a `Message`."""
    envelope = _schema.Envelope.new_message(**_envelope_fields(message))
    data: bytes = envelope.to_bytes()
    return HEADER.pack(len(data)) + data


def _envelope_fields(message: Message) -> dict[str, Any]:
    match message:
        case Digest(data):
            return {"digest": data}
        case Hello():
            return {
                "hello": {
                    "protocol": message.protocol,
                    "instanceId": message.instance_id,
                    "boot": message.boot,
                    "nonce": message.nonce,
                }
            }
        case Proof(mac):
            return {"proof": mac}
        case StateRequest(component, request_id, body):
            return {"stateRequest": {"component": component, "requestId": request_id, "body": body}}
        case StateReply(component, request_id, body):
            return {"stateReply": {"component": component, "requestId": request_id, "body": body}}
        case UsageSync():
            counters = [
                {
                    "workspace": workspace,
                    "requests": counts.requests,
                    "promptTokens": counts.prompt_tokens,
                    "generatedTokens": counts.generated_tokens,
                    "engineMs": counts.engine_ms,
                }
                for workspace, counts in message.counters
            ]
            return {
                "usageSync": {
                    "instanceBoot": message.instance_boot,
                    "base": message.base,
                    "upto": message.upto,
                    "counters": counters,
                }
            }
        case UsageAck(instance_boot, upto):
            return {"usageAck": {"instanceBoot": instance_boot, "upto": upto}}
        case Notice():
            return {
                "notice": {
                    "noticeId": message.notice_id,
                    "suspicions": [
                        {
                            "fingerprint": s.fingerprint,
                            "death": _death_fields(s.death),
                            "atMs": s.at_ms,
                        }
                        for s in message.suspicions
                    ],
                    "clearances": [
                        {
                            "fingerprint": c.fingerprint,
                            "deaths": [_death_fields(death) for death in c.deaths],
                            "atMs": c.at_ms,
                        }
                        for c in message.clearances
                    ],
                    "partChanges": _PART_ENCODER.encode(message.part_changes),
                }
            }
        case NoticeReceived(notice_id):
            return {"noticeReceived": notice_id}
        case ListSeen(version):
            return {"listSeen": version}
        case (
            ClaimRequest()
            | ClaimResponse()
            | ClaimUpdate()
            | ClaimUpdateAck()
            | BodyRequest()
            | BodyReply()
        ):
            return claim_fields(message)
    raise TypeError(f"{type(message).__name__} is not a message between instances")


def _death_fields(death: Death) -> dict[str, str]:
    return {"upstreamId": death.upstream_id, "bootId": death.boot_id}


def decode(data: bytes) -> Result[Message, PeerFormatError]:
    """Decode the content of one frame."""
    limit = len(data) // 8 * MAX_TRAVERSAL_FACTOR + 64
    try:
        with _schema.Envelope.from_bytes(data, traversal_limit_in_words=limit) as envelope:
            return Ok(_read_message(envelope))
    except (capnp.KjException, UnicodeDecodeError, ValueError) as exc:
        return Err(PeerFormatError(str(exc).splitlines()[0] if str(exc) else repr(exc)))


def _read_message(envelope: Any) -> Message:
    kind = envelope.which()
    match str(kind):
        case "digest":
            return Digest(bytes(envelope.digest))
        case "hello":
            hello = envelope.hello
            return Hello(hello.protocol, hello.instanceId, hello.boot, bytes(hello.nonce))
        case "proof":
            return Proof(bytes(envelope.proof))
        case "stateRequest":
            state = envelope.stateRequest
            return StateRequest(state.component, state.requestId, bytes(state.body))
        case "stateReply":
            state = envelope.stateReply
            return StateReply(state.component, state.requestId, bytes(state.body))
        case "usageSync":
            sync = envelope.usageSync
            counters = tuple(
                (
                    item.workspace,
                    Counts(item.requests, item.promptTokens, item.generatedTokens, item.engineMs),
                )
                for item in sync.counters
            )
            return UsageSync(sync.instanceBoot, sync.base, sync.upto, counters)
        case "usageAck":
            return UsageAck(envelope.usageAck.instanceBoot, envelope.usageAck.upto)
        case "notice":
            return _read_notice(envelope.notice)
        case "noticeReceived":
            return NoticeReceived(envelope.noticeReceived)
        case "listSeen":
            return ListSeen(envelope.listSeen)
    claim_message = read_claim_message(str(kind), envelope)
    if claim_message is not None:
        return claim_message
    raise ValueError(f"unknown message '{kind}'")


def _read_notice(notice: Any) -> Notice:
    suspicions = tuple(
        Suspicion(item.fingerprint, Death(item.death.upstreamId, item.death.bootId), item.atMs)
        for item in notice.suspicions
    )
    clearances = tuple(
        Clearance(
            item.fingerprint,
            tuple(Death(death.upstreamId, death.bootId) for death in item.deaths),
            item.atMs,
        )
        for item in notice.clearances
    )
    data = bytes(notice.partChanges)
    try:
        # An instance of the previous version sends none.
        part_changes = _PART_DECODER.decode(data) if data else ()
    except DECODE_ERRORS as exc:
        raise ValueError(str(exc)) from exc
    return Notice(notice.noticeId, suspicions, clearances, part_changes)


class CapnpCodec:
    """Encode and decode `Message` objects for the peer transport."""

    def encode(self, message: Message) -> bytes:
        """Return the message as one frame."""
        return encode(message)

    def decode(self, data: bytes) -> Result[Message, PeerFormatError]:
        """Decode the content of one frame."""
        return decode(data)
