"""Builders of messages and configurations for the tests of the scheduler."""

from ibispaddle_core.scheduling import (
    Request,
    ReservationOutcome,
    RunnerLoad,
    Scheduler,
    Upstream,
    UpstreamsChanged,
    UpstreamState,
)
from ibispaddle_core.settings.fleet import FleetConfig

CONFIG = {
    "neighbours": {"north": {"weight": 1.0}, "south": {"weight": 1.0}},
    "models": {"m": {"engine_kv_tokens": 400_000, "prefill_tokens_per_s": 50_000.0}},
}


def fleet(**scheduling: object) -> FleetConfig:
    """Return a fleet configuration with the given scheduling parameters."""
    return FleetConfig.from_document({**CONFIG, "scheduling": scheduling})


def upstream(number: int, state: str = "live") -> Upstream:
    """Return a runner of model `m`."""
    return Upstream(f"r{number:03}", "dc1", ("m",), UpstreamState(state))


def scheduler(runners: int = 3, **scheduling: object) -> Scheduler:
    """Return a scheduler with idle runners."""
    result = Scheduler.from_config(fleet(**scheduling), 1, "boot-1")
    result.handle(UpstreamsChanged(tuple(upstream(n) for n in range(runners))), 0)
    return result


def request(request_id: str, **values: object) -> Request:
    """Return a short request with a deadline of ten seconds."""
    defaults: dict = {
        "workspace": "w",
        "neighbour": "north",
        "model": "m",
        "prompt_tokens": 1_000,
        "max_output_tokens": 100,
        "arrived_ms": 0,
        "deadline_ms": 10_000,
    }
    return Request(request_id, **{**defaults, **values})


def load(upstream_id: str, seq: int, **values: object) -> RunnerLoad:
    """Return a load report of an idle runner."""
    defaults: dict = {
        "boot_id": "b1",
        "observed_ms": 0,
        "running": 0,
        "waiting": 0,
        "queued_prefill_tokens": 0,
        "kv_tokens_used": 0,
        "kv_tokens_total": 400_000,
        "prefill_tokens_per_s": 50_000.0,
        "decode_tokens_per_s": 60.0,
    }
    return RunnerLoad(upstream_id, seq=seq, **{**defaults, **values})


def reservation_outcome(is_granted: bool) -> ReservationOutcome:
    """Return the answer of a runner that has the memory or has no room for it."""
    return ReservationOutcome.GRANTED if is_granted else ReservationOutcome.NO_ROOM
