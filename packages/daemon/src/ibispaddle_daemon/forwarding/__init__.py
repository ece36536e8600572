"""Forwarding of requests by route: callers, the scheduler and upstreams of any protocol on HTTP."""

from .codec import (
    CallerRequest,
    ForwardingCodec,
    Helper,
    UpstreamCall,
)
from .forwarder import Forwarder

__all__ = [
    "CallerRequest",
    "Forwarder",
    "ForwardingCodec",
    "Helper",
    "UpstreamCall",
]
