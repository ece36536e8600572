"""Weighted fair sharing between neighbours, based on merged cumulative counters."""

from .counters import ShareCounters
from .exceptions import NegativeCostError, SharesError

__all__ = ["NegativeCostError", "ShareCounters", "SharesError"]
