"""Usage accounting with cumulative counters that are merged by maximum."""

from .counters import Counts, UsageAck, UsageSync, instance_boot, split_instance_boot
from .exceptions import UsageError, UsageRecordError
from .ledger import HOLDERS, Flush, UsageLedger, flush_interval_ms
from .totals import UsageTotals

__all__ = [
    "HOLDERS",
    "Counts",
    "Flush",
    "UsageAck",
    "UsageError",
    "UsageLedger",
    "UsageRecordError",
    "UsageSync",
    "UsageTotals",
    "flush_interval_ms",
    "instance_boot",
    "split_instance_boot",
]
