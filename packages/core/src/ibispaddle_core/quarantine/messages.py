"""Messages and records about requests that crash upstreams. Times are wall-clock milliseconds."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Death:
    """Identify the end of one boot of an upstream."""

    upstream_id: str
    boot_id: str


@dataclass(frozen=True)
class Suspicion:
    """Report that a request was in flight on an upstream when it died."""

    fingerprint: str
    death: Death
    at_ms: int


@dataclass(frozen=True)
class Clearance:
    """Report that a suspect completed, or was lifted, and is cleared of some deaths."""

    fingerprint: str
    deaths: tuple[Death, ...]
    at_ms: int


@dataclass(frozen=True)
class Notice:
    """Tell other instances about suspects; answered by `NoticeReceived` with the same id."""

    notice_id: int
    suspicions: tuple[Suspicion, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@dataclass(frozen=True)
class NoticeReceived:
    """Acknowledge a notice."""

    notice_id: int


@dataclass(frozen=True)
class QuarantineEntry:
    """Describe a fingerprint that is refused until a time."""

    fingerprint: str
    deaths: tuple[Death, ...]
    expires_ms: int
