"""Usage accounting with cumulative counters that are merged by maximum."""

from .account import CLOSE_AFTER_MS, Account, AccountReader, UsageRecord
from .counters import Counts, UsageAck, UsageSync, instance_boot, split_instance_boot
from .exceptions import UsageError, UsageRecordError
from .ledger import HOLDERS, Flush, UsageLedger, flush_interval_ms
from .rollups import MAX_PART_BYTES, RollupCollector, RollupPart, divide
from .totals import UsageTotals

__all__ = [
    "CLOSE_AFTER_MS",
    "HOLDERS",
    "MAX_PART_BYTES",
    "Account",
    "AccountReader",
    "Counts",
    "Flush",
    "RollupCollector",
    "RollupPart",
    "UsageAck",
    "UsageError",
    "UsageLedger",
    "UsageRecord",
    "UsageRecordError",
    "UsageSync",
    "UsageTotals",
    "divide",
    "flush_interval_ms",
    "instance_boot",
    "split_instance_boot",
]
