"""The platform's store: topics that keep the newest record of each key."""

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
