"""Delegation of requests by an instance that reaches no upstream to one that does."""

from .delegator import Delegator
from .isolation import Isolation
from .listener import DelegateListener
from .prober import Prober
from .readiness import DelegationReadiness

__all__ = ["DelegateListener", "DelegationReadiness", "Delegator", "Isolation", "Prober"]
