"""Detection and quarantine of requests that crash upstreams."""

from .exceptions import QuarantineError, QuarantineRecordError
from .messages import Clearance, Death, Notice, NoticeReceived, QuarantineEntry, Suspicion
from .records import lift_record, parse_record, quarantine_record
from .registry import Quarantine

__all__ = [
    "Clearance",
    "Death",
    "Notice",
    "NoticeReceived",
    "Quarantine",
    "QuarantineEntry",
    "QuarantineError",
    "QuarantineRecordError",
    "Suspicion",
    "lift_record",
    "parse_record",
    "quarantine_record",
]
