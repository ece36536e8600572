"""Messages about requests that may crash upstreams. Times are wall-clock milliseconds."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Death:
    """The crash of an upstream process, identified by the boot that it ended."""

    upstream_id: str
    boot_id: str


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
    """Notify other instances of suspect requests; acknowledged by `NoticeReceived` with the same id."""

    notice_id: int
    suspicions: tuple[Suspicion, ...] = ()
    clearances: tuple[Clearance, ...] = ()


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
