"""Encoding of the claim messages between instances."""

from typing import Any

from ibispaddle_core.idempotency import (
    BodyReply,
    BodyRequest,
    Claim,
    ClaimMessage,
    ClaimRequest,
    ClaimResponse,
    ClaimUpdate,
    ClaimUpdateAck,
    ClaimVerdict,
    Outcome,
    Release,
    Settlement,
)

# Stands for a creation time or status that is not known.
_NONE = -1


def claim_fields(message: ClaimMessage) -> dict[str, Any]:
    """Return the envelope's field of a claim message."""
    match message:
        case ClaimRequest(claim, is_query):
            created_ms = _NONE if claim.created_ms is None else claim.created_ms
            return {
                "claimAsk": {
                    "claimId": claim.claim_id,
                    "keyHash": claim.key_hash,
                    "requestHash": claim.request_hash,
                    "createdMs": created_ms,
                    "isQuery": is_query,
                }
            }
        case BodyRequest(claim_id, key_hash):
            return {"bodyRequest": {"claimId": claim_id, "keyHash": key_hash}}
        case BodyReply(claim_id, outcome):
            reply: dict[str, Any] = {"claimId": claim_id}
            if outcome is not None:
                reply["outcome"] = _outcome_fields(outcome)
            return {"bodyReply": reply}
        case ClaimResponse(claim_id, verdict, outcome, is_read, holder):
            answer: dict[str, Any] = {
                "claimId": claim_id,
                "verdict": verdict.value,
                "isRead": is_read,
                "holder": holder,
            }
            if outcome is not None:
                answer["outcome"] = _outcome_fields(outcome)
            return {"claimAnswer": answer}
        case ClaimUpdate(entry, sole):
            note: dict[str, Any] = {
                "claimId": entry.claim_id,
                "keyHash": entry.key_hash,
                "sole": sole,
            }
            if isinstance(entry, Settlement):
                note["outcome"] = _outcome_fields(entry.outcome)
            return {"claimNote": note}
        case ClaimUpdateAck(claim_id, in_stream):
            return {"claimNoted": {"claimId": claim_id, "inStream": in_stream}}


def _outcome_fields(outcome: Outcome) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "status": _NONE if outcome.status is None else outcome.status,
        "contentType": outcome.content_type,
        "hasBody": outcome.body is not None,
    }
    return fields | {"body": outcome.body or b""}


def read_claim_message(kind: str, envelope: Any) -> ClaimMessage | None:
    """Return the claim message of an envelope, or None if it is of another kind."""
    match kind:
        case "claimAsk":
            ask = envelope.claimAsk
            created_ms = None if ask.createdMs == _NONE else ask.createdMs
            claim = Claim(ask.claimId, ask.keyHash, ask.requestHash, created_ms)
            return ClaimRequest(claim, ask.isQuery)
        case "claimAnswer":
            answer = envelope.claimAnswer
            outcome = _read_outcome(answer)
            verdict = ClaimVerdict(answer.verdict)
            return ClaimResponse(answer.claimId, verdict, outcome, answer.isRead, answer.holder)
        case "claimNote":
            note = envelope.claimNote
            outcome = _read_outcome(note)
            if outcome is None:
                return ClaimUpdate(Release(note.claimId, note.keyHash), note.sole)
            return ClaimUpdate(Settlement(note.claimId, note.keyHash, outcome), note.sole)
        case "claimNoted":
            return ClaimUpdateAck(envelope.claimNoted.claimId, envelope.claimNoted.inStream)
        case "bodyRequest":
            return BodyRequest(envelope.bodyRequest.claimId, envelope.bodyRequest.keyHash)
        case "bodyReply":
            return BodyReply(envelope.bodyReply.claimId, _read_outcome(envelope.bodyReply))
    return None


def _read_outcome(holder: Any) -> Outcome | None:
    if not holder._has("outcome"):
        return None
    outcome = holder.outcome
    status = None if outcome.status == _NONE else outcome.status
    return Outcome(status, outcome.contentType, bytes(outcome.body) if outcome.hasBody else None)
