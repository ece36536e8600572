"""Exceptions of the shares package."""


class SharesError(Exception):
    """Base class of the errors of this package."""


class NegativeCostError(SharesError):
    """A cost is negative; the merged counters must not decrease."""
