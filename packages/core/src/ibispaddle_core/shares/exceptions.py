"""Errors of the share accounting."""


class SharesError(Exception):
    """Report a misuse of the share accounting."""


class NegativeCostError(SharesError):
    """Report a negative cost; the merged counters may only grow."""
