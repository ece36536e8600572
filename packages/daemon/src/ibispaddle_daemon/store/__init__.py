"""Access to the platform's store, whose topics keep the newest record of each key."""

from .codec import StoreCall, StoreCodec
from .follower import TopicFollower
from .instances import InstanceDirectory
from .upstreams import UpstreamDirectory

__all__ = [
    "InstanceDirectory",
    "StoreCall",
    "StoreCodec",
    "TopicFollower",
    "UpstreamDirectory",
]
