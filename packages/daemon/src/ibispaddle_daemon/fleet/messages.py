"""Messages between an instance and its hubs, in MessagePack."""

from collections.abc import Mapping

import msgspec
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.gossip import Hello, Proof
from ibispaddle_core.quarantine import PartChange
from ibispaddle_core.scheduling import (
    AttemptCounts,
    ColdOffer,
    FirstOutputQuantiles,
    PaceReport,
    PeerWork,
    SentCounts,
    UpstreamPace,
    UpstreamWork,
    WaitingPrompt,
)
from result import Err, Ok, Result

from ..peer_frames import HEADER, PeerFormatError

# Boot of a hub, and the number of its last change of the quarantine that the sender of a query knows.
Cursor = tuple[int, int]
WorkRow = tuple[str, int, int, int, int]  # Upstream id, prefill in ms, requests, KV tokens, parts.
AttemptRow = tuple[str, int, int]  # Service, first attempts, retries.
# Upstream id, limit in requests a second or None, number of observations, requests sent.
PaceReportRow = tuple[str, float | None, int, int]
# Upstream id, limit, its age in ms, requests of the other instances in the short and the long window.
PaceRow = tuple[str, float | None, int, int, int]
# Request id, service, workspace, tokens, time until which it can start, counted from the message.
WaitingRow = tuple[str, str, str, int, int]
HolderRow = tuple[str, int]  # Workspace, its long prompts that hold memory.

HedgeRow = tuple[str, int]  # Service, hedges; these are among its retries.
# Class, time to first output as a multiple of its prediction.
FirstOutputRow = tuple[str, float]
# Class, number of samples, upper quartile, tail.
QuantilesRow = tuple[str, int, float, float]
# Upstream id, and the time for which it stays cold.
ColdRow = tuple[str, int]
# The same, and the requests that the receiver may send to it now.
ColdOfferRow = tuple[str, int, int]


class WorkUpdate(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """The sender's work in flight, which replaces its previous update."""

    rows: tuple[WorkRow, ...]
    avoided: tuple[str, ...]
    # Counted since the start of the sender; of all services, for hubs that run an earlier release.
    first_attempts: int = 0
    retries: int = 0
    # The rest covers only what may be new to the hub.
    attempts: tuple[AttemptRow, ...] = ()
    paces: tuple[PaceReportRow, ...] = ()
    waiting: tuple[WaitingRow, ...] = ()  # The sender's first prompts that wait for memory.
    holders: tuple[HolderRow, ...] = ()
    # Hedges since the start of the sender, and times to first output since its last update.
    hedges: tuple[HedgeRow, ...] = ()
    first_outputs: tuple[FirstOutputRow, ...] = ()
    cold: tuple[ColdRow, ...] = ()


class WorkQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Query for the work of all other instances, to select an upstream of a service.

    The fields after the service are those of a `QuarantineUpdate`.
    """

    query_id: int
    service: str = ""
    change_query_id: int = 0
    changes: tuple[PartChange, ...] = ()
    cursor: Cursor | None = None
    cold: tuple[ColdRow, ...] = ()  # Cold upstreams that were missing from the hub's last answer.


class WorkSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Response to a `WorkQuery`: the work of all instances except the one that sent the query."""

    query_id: int
    rows: tuple[WorkRow, ...]
    avoided: tuple[str, ...]
    # First attempts and retries of the other instances in the retry budget's window, if known to the hub;
    # of all services, for instances that run an earlier release.
    attempts: tuple[int, int] | None = None
    choice_rank: int = 0  # Instances that queried earlier and have not selected yet.
    # The fields of a `QuarantineReply`.
    change_query_id: int = 0
    changes: tuple[PartChange, ...] = ()
    cursor: Cursor | None = None
    service_attempts: tuple[AttemptRow, ...] | None = None  # The same counts by service.
    paces: tuple[PaceRow, ...] | None = None  # Of limited upstreams, if known to the hub.
    waiting: tuple[WaitingRow, ...] = ()  # The first prompts of the others that wait for memory.
    holders: tuple[HolderRow, ...] = ()  # Only while prompts wait.
    # First attempts and hedges of the other instances at all services in the window of hedges, or None if
    # the hub runs an earlier release.
    hedging: tuple[int, int] | None = None
    first_outputs: tuple[QuantilesRow, ...] = ()
    # Of cold upstreams, if the hub knows the requests of the last second.
    cold: tuple[ColdOfferRow, ...] | None = None


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """Changes of the quarantine that a hub may not know.

    `cursor` is that of the hub's last response, or None.
    """

    query_id: int
    changes: tuple[PartChange, ...]
    cursor: Cursor | None = None


class QuarantineReply(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Response to a `QuarantineUpdate`: the hub's changes after the cursor, and the new cursor."""

    query_id: int
    changes: tuple[PartChange, ...]
    cursor: Cursor


class TopicQuery(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Query for changes of topics.

    `offsets` maps each topic to the offset of the next record, or to None to get all keys. With a
    `wanted_age_ms`, the response follows at once, and an instance whose data is older reads the store.
    `eras` maps each topic to the era of its offset; None is that of a sender that runs an earlier release.
    """

    query_id: int
    offsets: dict[str, int | None]
    wanted_age_ms: int | None = None
    eras: dict[str, int] | None = None


class TopicDelta(msgspec.Struct, frozen=True, array_like=True):
    """The changes of one topic and the time since the store confirmed them."""

    kind: str  # "newest", "changes" or "gone".
    age_ms: int
    position: int = 0  # Offset of the next record.
    records: tuple[tuple[str, bytes | None], ...] = ()
    # That of the offset; 0 if the store, or a hub that runs an earlier release, states none.
    era: int = 0


class TopicResponse(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Response to a `TopicQuery`.

    `body` maps topics to `TopicDelta`. Topics that the hub has not read are left out.
    """

    query_id: int
    waited_ms: int  # Time for which the hub held the query while there were no changes.
    is_store_unavailable: bool  # Whether the hub cannot reach the store.
    is_compressed: bool
    body: bytes


class _Hello(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    protocol: int
    instance_id: str
    boot: int
    nonce: bytes


class _Proof(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    mac: bytes


FleetMessage = (
    WorkUpdate
    | WorkQuery
    | WorkSnapshot
    | QuarantineUpdate
    | QuarantineReply
    | TopicQuery
    | TopicResponse
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FleetMessage | _Hello | _Proof)


class FleetCodec:
    """Encode and decode the messages between instances."""

    def encode(self, message: FleetMessage | Hello | Proof) -> bytes:
        """Return the frame of a message."""
        match message:
            case Hello(protocol, instance_id, boot, nonce):
                data = _ENCODER.encode(_Hello(protocol, instance_id, boot, nonce))
            case Proof(mac):
                data = _ENCODER.encode(_Proof(mac))
            case _:
                data = _ENCODER.encode(message)
        return HEADER.pack(len(data)) + data

    def decode(self, data: bytes) -> Result[FleetMessage | Hello | Proof, PeerFormatError]:
        """Decode the content of one frame."""
        try:
            message = _DECODER.decode(data)
        except DECODE_ERRORS as exc:
            return Err(PeerFormatError(str(exc)))
        match message:
            case _Hello(protocol, instance_id, boot, nonce):
                return Ok(Hello(protocol, instance_id, boot, nonce))
            case _Proof(mac):
                return Ok(Proof(mac))
        return Ok(message)


def encode_work_rows(work: Mapping[str, UpstreamWork]) -> tuple[WorkRow, ...]:
    """Encode work by upstream as rows of a message."""
    return tuple(
        (name, round(item.prefill_ms), item.requests, item.kv_tokens, item.parts)
        for name, item in work.items()
    )


def decode_work_rows(rows: tuple[WorkRow, ...]) -> dict[str, UpstreamWork]:
    """Decode work by upstream."""
    return {
        name: UpstreamWork(float(prefill_ms), requests, tokens, parts)
        for name, prefill_ms, requests, tokens, parts in rows
    }


def decode_work(
    instance: str, message: WorkUpdate | WorkSnapshot, now_ms: int, choice_rank: int = 0
) -> PeerWork:
    """Decode the work in an instance's update or in a hub's snapshot."""
    return PeerWork(
        instance,
        decode_work_rows(message.rows),
        message.avoided,
        choice_rank,
        decode_waiting(message.waiting, now_ms),
        dict(message.holders),
    )


def encode_waiting(prompts: tuple[WaitingPrompt, ...], now_ms: int) -> tuple[WaitingRow, ...]:
    """Encode waiting prompts. Their times count from the message, as clocks differ."""
    return tuple(
        (item.request_id, item.model, item.workspace, item.tokens, item.latest_start_ms - now_ms)
        for item in prompts
    )


def decode_waiting(rows: tuple[WaitingRow, ...], now_ms: int) -> tuple[WaitingPrompt, ...]:
    """Decode waiting prompts, with times of this instance's clock."""
    return tuple(
        WaitingPrompt(
            0,
            request_id,
            model=model,
            workspace=workspace,
            tokens=tokens,
            latest_start_ms=now_ms + slack_ms,
        )
        for request_id, model, workspace, tokens, slack_ms in rows
    )


def encode_attempt_rows(counts: Mapping[str, AttemptCounts]) -> tuple[AttemptRow, ...]:
    """Encode attempts by service as rows of a message."""
    return tuple((service, item.first, item.retries) for service, item in counts.items())


def encode_hedge_rows(counts: Mapping[str, AttemptCounts]) -> tuple[HedgeRow, ...]:
    """Encode the hedges of services that have any as rows of a message."""
    return tuple((service, item.hedges) for service, item in counts.items() if item.hedges)


def decode_attempt_rows(
    rows: tuple[AttemptRow, ...], hedge_rows: tuple[HedgeRow, ...] = ()
) -> dict[str, AttemptCounts]:
    """Decode attempts by service."""
    hedges = dict(hedge_rows)
    return {
        service: AttemptCounts(first, retries, hedges.get(service, 0))
        for service, first, retries in rows
    }


def encode_quantiles(
    quantiles: Mapping[str, FirstOutputQuantiles],
) -> tuple[QuantilesRow, ...]:
    """Encode the distribution of times to first output by class as rows of a message."""
    return tuple(
        (name, item.count, item.upper_quartile, item.tail) for name, item in quantiles.items()
    )


def decode_quantiles(rows: tuple[QuantilesRow, ...]) -> dict[str, FirstOutputQuantiles]:
    """Decode the distribution of times to first output by class."""
    return {name: FirstOutputQuantiles(count, *values) for name, count, *values in rows}


def encode_pace_reports(reports: Mapping[str, PaceReport]) -> tuple[PaceReportRow, ...]:
    """Encode reports on limited upstreams as rows of a message."""
    return tuple(
        (name, item.limit_per_s, item.observations, item.sent) for name, item in reports.items()
    )


def decode_pace_reports(rows: tuple[PaceReportRow, ...]) -> dict[str, PaceReport]:
    """Decode reports on limited upstreams."""
    return {name: PaceReport(limit, observations, sent) for name, limit, observations, sent in rows}


def encode_paces(paces: Mapping[str, UpstreamPace]) -> tuple[PaceRow, ...]:
    """Encode the paces of limited upstreams as rows of a message."""
    return tuple(
        (name, item.limit_per_s, item.age_ms, item.sent.short, item.sent.long)
        for name, item in paces.items()
    )


def decode_paces(rows: tuple[PaceRow, ...]) -> dict[str, UpstreamPace]:
    """Decode the paces of limited upstreams."""
    return {
        name: UpstreamPace(limit, age_ms, SentCounts(short, long))
        for name, limit, age_ms, short, long in rows
    }


def encode_cold(until_ms: Mapping[str, int], now_ms: int) -> tuple[ColdRow, ...]:
    """Encode the ends of cold times as rows of a message."""
    return tuple((name, end_ms - now_ms) for name, end_ms in until_ms.items() if end_ms > now_ms)


def encode_cold_offers(offers: Mapping[str, ColdOffer] | None) -> tuple[ColdOfferRow, ...] | None:
    """Encode what a hub offers for cold upstreams as rows of a message."""
    if offers is None:
        return None
    return tuple((name, offer.left_ms, offer.room) for name, offer in offers.items())


def decode_cold_offers(rows: tuple[ColdOfferRow, ...] | None) -> dict[str, ColdOffer] | None:
    """Decode what a hub offers for cold upstreams."""
    if rows is None:
        return None
    return {name: ColdOffer(left_ms, room) for name, left_ms, room in rows}
