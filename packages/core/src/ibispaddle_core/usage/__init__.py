"""Usage accounting with cumulative counters that are merged by taking the maximum."""

from .account import BOOT_EXPIRY_MS, UsageAggregate, UsageAggregateReader, UsageRecord
from .counters import Counts, UsageAck, UsageSync, instance_boot, split_instance_boot
from .exceptions import UsageError, UsageRecordError
from .ledger import REPLICA_COUNT, Flush, UsageLedger, flush_interval_ms
from .rollups import MAX_PART_BYTES, RollupCollector, RollupPart, split_rollup
from .totals import UsageTotals

__all__ = [
    "BOOT_EXPIRY_MS",
    "REPLICA_COUNT",
    "MAX_PART_BYTES",
    "UsageAggregate",
    "UsageAggregateReader",
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
    "split_rollup",
    "flush_interval_ms",
    "instance_boot",
    "split_instance_boot",
]
