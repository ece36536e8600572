"""Cumulative counters and the messages that carry them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Counts:
    """Usage counted since the start of an instance's process."""

    requests: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0
    engine_ms: int = 0

    def add(self, other: "Counts") -> "Counts":
        """Return the sum."""
        return Counts(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.generated_tokens + other.generated_tokens,
            self.engine_ms + other.engine_ms,
        )

    def maximum(self, other: "Counts") -> "Counts":
        """Return the maximum of each counter."""
        return Counts(
            max(self.requests, other.requests),
            max(self.prompt_tokens, other.prompt_tokens),
            max(self.generated_tokens, other.generated_tokens),
            max(self.engine_ms, other.engine_ms),
        )

    def as_tuple(self) -> tuple[int, int, int, int]:
        """Return the counters in the order used by the records."""
        return (self.requests, self.prompt_tokens, self.generated_tokens, self.engine_ms)


ZERO_COUNTS = Counts()


@dataclass(frozen=True)
class UsageSync:
    """Replicate counters to a rank successor.

    Contains the counters that changed after change number `base`, up to and including `upto`.
    """

    instance_boot: str
    base: int
    upto: int
    counters: tuple[tuple[str, Counts], ...]


@dataclass(frozen=True)
class UsageAck:
    """Acknowledge that all changes up to and including `upto` are replicated."""

    instance_boot: str
    upto: int


def instance_boot(instance_id: str, boot: int) -> str:
    """Return the id of a process: the instance id and the boot number.

    >>> instance_boot("entry.1", 17)
    'entry.1-17'
    """
    return f"{instance_id}-{boot}"


def split_instance_boot(value: str) -> tuple[str, int]:
    """Return the instance id and the boot number; raises `ValueError` if `value` is malformed.

    >>> split_instance_boot("entry.1-17")
    ('entry.1', 17)
    """
    instance_id, separator, boot = value.rpartition("-")
    if not separator or not instance_id:
        raise ValueError(f"'{value}' does not have the form INSTANCE-BOOT")
    return instance_id, int(boot)
