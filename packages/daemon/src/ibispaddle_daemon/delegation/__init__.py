"""Delegation of requests by an instance that reaches no upstream to one that does."""

from .delegator import Delegator
from .isolation import Isolation
from .listener import DelegateListener
from .prober import Prober

__all__ = ["DelegateListener", "Delegator", "Isolation", "Prober"]
