"""Serialization of the claim messages between instances."""

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

# Encodes a missing creation time or an unknown status.
_UNKNOWN = -1


def claim_fields(message: ClaimMessage) -> dict[str, Any]:
    """Return the envelope field that encodes a claim message."""
    match message:
        case ClaimRequest(claim, is_query):
            created_ms = _UNKNOWN if claim.created_ms is None else claim.created_ms
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
            response: dict[str, Any] = {
                "claimId": claim_id,
                "verdict": verdict.value,
                "isRead": is_read,
                "holder": holder,
            }
            if outcome is not None:
                response["outcome"] = _outcome_fields(outcome)
            return {"claimAnswer": response}
        case ClaimUpdate(entry, sent_once):
            update: dict[str, Any] = {
                "claimId": entry.claim_id,
                "keyHash": entry.key_hash,
                "sole": sent_once,
            }
            if isinstance(entry, Settlement):
                update["outcome"] = _outcome_fields(entry.outcome)
            return {"claimNote": update}
        case ClaimUpdateAck(claim_id, in_stream):
            return {"claimNoted": {"claimId": claim_id, "inStream": in_stream}}


def _outcome_fields(outcome: Outcome) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "status": _UNKNOWN if outcome.status is None else outcome.status,
        "contentType": outcome.content_type,
        "hasBody": outcome.body is not None,
    }
    return fields | {"body": outcome.body or b""}


def read_claim_message(kind: str, envelope: Any) -> ClaimMessage | None:
    """Return the claim message in an envelope, or None if the envelope holds another kind."""
    match kind:
        case "claimAsk":
            request = envelope.claimAsk
            created_ms = None if request.createdMs == _UNKNOWN else request.createdMs
            claim = Claim(request.claimId, request.keyHash, request.requestHash, created_ms)
            return ClaimRequest(claim, request.isQuery)
        case "claimAnswer":
            response = envelope.claimAnswer
            outcome = _read_outcome(response)
            verdict = ClaimVerdict(response.verdict)
            return ClaimResponse(
                response.claimId, verdict, outcome, response.isRead, response.holder
            )
        case "claimNote":
            update = envelope.claimNote
            outcome = _read_outcome(update)
            if outcome is None:
                return ClaimUpdate(Release(update.claimId, update.keyHash), update.sole)
            return ClaimUpdate(Settlement(update.claimId, update.keyHash, outcome), update.sole)
        case "claimNoted":
            return ClaimUpdateAck(envelope.claimNoted.claimId, envelope.claimNoted.inStream)
        case "bodyRequest":
            return BodyRequest(envelope.bodyRequest.claimId, envelope.bodyRequest.keyHash)
        case "bodyReply":
            return BodyReply(envelope.bodyReply.claimId, _read_outcome(envelope.bodyReply))
    return None


def _read_outcome(message: Any) -> Outcome | None:
    if not message._has("outcome"):
        return None
    outcome = message.outcome
    status = None if outcome.status == _UNKNOWN else outcome.status
    return Outcome(status, outcome.contentType, bytes(outcome.body) if outcome.hasBody else None)
