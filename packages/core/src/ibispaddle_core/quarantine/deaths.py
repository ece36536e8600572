"""Identity of the crash of an upstream."""

from collections.abc import Callable
from dataclasses import dataclass

# Appended to the boot id of an upstream that has crashed and has not reported its new one.
SUCCESSOR_SUFFIX = "+"


@dataclass(frozen=True, order=True)
class Death:
    """The crash of an upstream process, identified by the boot that it ended."""

    upstream_id: str
    boot_id: str


def current_boot_id(
    has_died: Callable[[Death], bool],
    upstream_id: str,
    reported_boot: str,
    may_have_died: bool = False,
) -> str:
    """Return the boot that receives a request, given the last reported one.

    Reports lag behind: a boot that is known to have died is replaced by a placeholder id for its
    successor, so that a crash of the successor is not mistaken for the known one. So is a boot that
    `may_have_died`: a connection broke before the request is sent, and the proof may come after it.
    """
    boot_id = reported_boot + SUCCESSOR_SUFFIX if may_have_died else reported_boot
    while has_died(Death(upstream_id, boot_id)):
        boot_id += SUCCESSOR_SUFFIX
    return boot_id
