"""Messages between two instances that belong to no other subsystem."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Digest:
    """Carry an encoded digest of the gossip table."""

    data: bytes


@dataclass(frozen=True)
class ListSeen:
    """Tell the instances of the data centre that a new version of the instance list can be read."""

    version: int


@dataclass(frozen=True)
class StateRequest:
    """Ask a peer for a component's state.

    `component` names the state, such as `configuration`; `body` is the component's own encoding.
    """

    component: str
    request_id: int
    body: bytes = b""


@dataclass(frozen=True)
class StateReply:
    """Answer a `StateRequest` with the same component and request id."""

    component: str
    request_id: int
    body: bytes
