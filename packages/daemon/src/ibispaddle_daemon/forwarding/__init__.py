"""Forwarding of requests by route, from callers to upstreams of any protocol over HTTP."""

from .codec import (
    CallerRequest,
    ForwardingCodec,
    Helper,
    UpstreamCall,
)
from .forwarder import Forwarder
from .part_guard import PartGuard

__all__ = [
    "CallerRequest",
    "Forwarder",
    "ForwardingCodec",
    "Helper",
    "PartGuard",
    "UpstreamCall",
]
