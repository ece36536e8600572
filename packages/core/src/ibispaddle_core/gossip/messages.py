"""Messages between instances that no other package defines."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Digest:
    """An encoded digest of the gossip table."""

    data: bytes


@dataclass(frozen=True)
class ListSeen:
    """Announces a new version of the instance list within the data centre."""

    version: int


@dataclass(frozen=True)
class StateRequest:
    """Requests a component's state from a peer.

    `component` names the component, such as `configuration`, which also defines the encoding of
    `body`.
    """

    component: str
    request_id: int
    body: bytes = b""


@dataclass(frozen=True)
class StateReply:
    """Response to the `StateRequest` with the same component and request id."""

    component: str
    request_id: int
    body: bytes
