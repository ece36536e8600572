"""Messages about requests that may crash upstreams. Times are wall-clock milliseconds."""

from dataclasses import dataclass

from .deaths import Death
from .part_messages import PartChange


@dataclass(frozen=True)
class Suspicion:
    """A request was in flight on an upstream when the upstream crashed."""

    fingerprint: str
    death: Death
    at_ms: int


@dataclass(frozen=True)
class Clearance:
    """A suspect request is cleared of some crashes because it completed or an operator lifted it."""

    fingerprint: str
    deaths: tuple[Death, ...]
    at_ms: int


@dataclass(frozen=True)
class Notice:
    """Notify other instances of suspect requests; acknowledged by `NoticeReceived` with the same id.

    `part_changes` are those of the quarantine by part.
    """

    notice_id: int
    suspicions: tuple[Suspicion, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    part_changes: tuple[PartChange, ...] = ()


@dataclass(frozen=True)
class NoticeReceived:
    """Acknowledgement of a `Notice`."""

    notice_id: int


@dataclass(frozen=True)
class QuarantineEntry:
    """A fingerprint whose requests are refused until `expires_ms`."""

    fingerprint: str
    deaths: tuple[Death, ...]
    expires_ms: int
