"""Access to the platform's store, whose topics keep the newest record of each key."""

from .codec import MAX_CHANGES_KB, StoreCall, StoreCodec
from .follower import TopicFollower
from .instances import InstanceDirectory
from .quarantine import QuarantineDirectory
from .upstreams import UpstreamDirectory

__all__ = [
    "MAX_CHANGES_KB",
    "InstanceDirectory",
    "QuarantineDirectory",
    "StoreCall",
    "StoreCodec",
    "TopicFollower",
    "UpstreamDirectory",
]
