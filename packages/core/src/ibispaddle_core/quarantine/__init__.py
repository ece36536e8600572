"""Detection and quarantine of requests that crash upstreams."""

from .deaths import SUCCESSOR_SUFFIX, Death, current_boot_id
from .exceptions import QuarantineError, QuarantineRecordError
from .messages import Clearance, Notice, NoticeReceived, QuarantineEntry, Suspicion
from .part_messages import CrashReport, PartChange, PartCleared, PartQuarantined, part_key
from .parts import PartQuarantine
from .records import lift_record, parse_record, part_record, quarantine_record
from .registry import Quarantine

__all__ = [
    "SUCCESSOR_SUFFIX",
    "Clearance",
    "CrashReport",
    "Death",
    "Notice",
    "NoticeReceived",
    "PartChange",
    "PartCleared",
    "PartQuarantine",
    "PartQuarantined",
    "Quarantine",
    "QuarantineEntry",
    "QuarantineError",
    "QuarantineRecordError",
    "Suspicion",
    "current_boot_id",
    "lift_record",
    "part_key",
    "parse_record",
    "part_record",
    "quarantine_record",
]
