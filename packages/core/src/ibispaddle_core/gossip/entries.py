"""Versioned entries that instances exchange.

Each entry has a single writer, its origin, so that two versions can always be ordered. Entries
are encoded as MessagePack arrays and passed on as the bytes that were received.
"""

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Report that an instance runs, and what configuration it has in force."""

    leaving: bool = False
    config_offset: int = -1  # Offset of the last record that was folded.
    config_revision: int = -1

    @property
    def subject(self) -> str:
        """Return what the entry is about."""
        return ""


class RunnerReport(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Report the result of an instance's probe of one runner."""

    upstream_id: str
    up: bool
    leaving: bool = False
    boot_id: str = ""
    seq: int = 0
    running: int = 0
    waiting: int = 0
    queued_prefill_tokens: int = 0
    kv_tokens_used: int = 0
    kv_tokens_total: int = 0
    prefill_tokens_per_s: int = 0
    decode_tokens_per_s: int = 0

    @property
    def subject(self) -> str:
        """Return what the entry is about."""
        return self.upstream_id


class Consumption(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Report what an instance's boot has consumed for one neighbour since its start."""

    neighbour: str
    boot: int  # Start of the counting process; with the origin it identifies the counter.
    consumed_ms: int  # Engine milliseconds, cumulative.

    @property
    def subject(self) -> str:
        """Return what the entry is about."""
        return self.neighbour


class WaitingLargePrompts(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Report the origin's prompts that span engines and wait for memory; none is an empty tuple.

    Each has its wall-clock arrival, its request id and the runners that it wants.
    """

    written_wall_ms: int
    prompts: tuple[tuple[int, str, tuple[str, ...]], ...]

    @property
    def subject(self) -> str:
        """Return what the entry is about."""
        return ""


class MemoryClaims(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """Report the engine memory that an instance's waiting prompts claim, in tokens by runner."""

    boot: int
    tokens: tuple[tuple[str, int], ...]

    @property
    def subject(self) -> str:
        """Return what the entry is about."""
        return ""


Payload = Heartbeat | RunnerReport | Consumption | WaitingLargePrompts | MemoryClaims


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Hold one payload with its origin and version.

    `boot` is the wall-clock start of the origin's process in milliseconds, `seq` grows with every
    entry that the origin writes.
    """

    origin: str
    boot: int
    seq: int
    payload: Payload

    @property
    def key(self) -> tuple[type, str, str]:
        """Return the identity of the entry, which all its versions share."""
        return (type(self.payload), self.payload.subject, self.origin)

    @property
    def version(self) -> tuple[int, int]:
        """Return the value by which versions of one entry are ordered."""
        return (self.boot, self.seq)


ENTRY_ENCODER = msgspec.msgpack.Encoder()
ENTRY_DECODER = msgspec.msgpack.Decoder(Entry)
DIGEST_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
