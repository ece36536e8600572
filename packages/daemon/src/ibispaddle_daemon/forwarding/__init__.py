"""Forwarding of requests by route, from callers to upstreams of any protocol over HTTP."""

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
