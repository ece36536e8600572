"""Usage accounting with cumulative counters that are merged by maximum."""

from .account import CLOSE_AFTER_MS, Account, AccountReader, UsageRecord
from .counters import Counts, UsageAck, UsageSync, instance_boot, split_instance_boot
from .exceptions import UsageError, UsageRecordError
from .ledger import HOLDERS, Flush, UsageLedger, flush_interval_ms
from .totals import UsageTotals

__all__ = [
    "CLOSE_AFTER_MS",
    "HOLDERS",
    "Account",
    "AccountReader",
    "Counts",
    "Flush",
    "UsageAck",
    "UsageError",
    "UsageLedger",
    "UsageRecord",
    "UsageRecordError",
    "UsageSync",
    "UsageTotals",
    "flush_interval_ms",
    "instance_boot",
    "split_instance_boot",
]
