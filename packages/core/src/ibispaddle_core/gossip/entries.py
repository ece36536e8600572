"""Versioned entries that instances exchange.

Each entry has a single writer, its origin, so that any two versions can be ordered. Entries are
encoded as MessagePack arrays and forwarded as the bytes that were received.
"""

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Reports that an instance is running and which configuration it has in force."""

    leaving: bool = False
    config_offset: int = -1  # Offset of the last folded record.
    config_revision: int = -1

    @property
    def subject(self) -> str:
        """Return the id that the entry refers to, or an empty string."""
        return ""


class RunnerReport(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Reports the result of an instance's probe of one runner."""

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
        """Return the id that the entry refers to, or an empty string."""
        return self.upstream_id


class Consumption(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Reports what a process of an instance has consumed for one neighbour since its start."""

    neighbour: str
    # Start time of the counting process; identifies the counter together with the origin.
    boot: int
    consumed_ms: int  # Cumulative engine time.

    @property
    def subject(self) -> str:
        """Return the id that the entry refers to, or an empty string."""
        return self.neighbour


class WaitingLargePrompts(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Reports the origin's prompts that need several engines and wait for memory.

    Each prompt has its wall-clock arrival time, its request id and the runners that it waits for.
    The tuple is empty if no prompt waits.
    """

    written_wall_ms: int
    prompts: tuple[tuple[int, str, tuple[str, ...]], ...]

    @property
    def subject(self) -> str:
        """Return the id that the entry refers to, or an empty string."""
        return ""


class MemoryClaims(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """Reports the engine memory claimed by an instance's waiting prompts, in tokens by runner."""

    boot: int
    tokens: tuple[tuple[str, int], ...]

    @property
    def subject(self) -> str:
        """Return the id that the entry refers to, or an empty string."""
        return ""


Payload = Heartbeat | RunnerReport | Consumption | WaitingLargePrompts | MemoryClaims


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A payload with its origin and version.

    `boot` is the wall-clock start time of the origin's process in milliseconds; `seq` increases
    with every entry that the origin writes.
    """

    origin: str
    boot: int
    seq: int
    payload: Payload

    @property
    def key(self) -> tuple[type, str, str]:
        """Return the key that all versions of the entry share."""
        return (type(self.payload), self.payload.subject, self.origin)

    @property
    def version(self) -> tuple[int, int]:
        """Return the value that orders the versions of an entry."""
        return (self.boot, self.seq)


ENTRY_ENCODER = msgspec.msgpack.Encoder()
ENTRY_DECODER = msgspec.msgpack.Decoder(Entry)
DIGEST_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
