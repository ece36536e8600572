"""Identity of the crash of an upstream."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Death:
    """The crash of an upstream process, identified by the boot that it ended."""

    upstream_id: str
    boot_id: str
