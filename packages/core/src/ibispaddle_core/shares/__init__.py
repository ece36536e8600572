"""Weighted fair order between neighbours from merged cumulative counters."""

from .counters import ShareCounters
from .exceptions import NegativeCostError, SharesError

__all__ = ["NegativeCostError", "ShareCounters", "SharesError"]
