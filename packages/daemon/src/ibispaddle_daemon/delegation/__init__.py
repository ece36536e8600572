"""Delegation of requests: the hop as the sender, and the listener of the delegate."""

from .delegator import Delegator
from .listener import DelegateListener

__all__ = ["DelegateListener", "Delegator"]
