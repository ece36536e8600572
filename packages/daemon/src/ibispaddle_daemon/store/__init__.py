"""Access to the platform's store, whose topics keep the newest record of each key."""

from .codec import StoreCall, StoreCodec
from .follower import TopicFollower
from .instances import InstanceDirectory
from .quarantine import QuarantineDirectory
from .upstreams import UpstreamDirectory

__all__ = [
    "InstanceDirectory",
    "QuarantineDirectory",
    "StoreCall",
    "StoreCodec",
    "TopicFollower",
    "UpstreamDirectory",
]
