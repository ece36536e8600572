"""The ibispaddle instance: sockets and timers around the core."""

import sys
from types import ModuleType


def _skip_namespace_packages() -> None:
    """Let circuits be imported without `pkg_resources`, which takes longer than circuits itself.

    circuits calls one function of it, which declares a namespace package for extensions of circuits.
    None is used here. Without the function, circuits would read the metadata of its distribution.
    """
    if "pkg_resources" not in sys.modules:
        stand_in = ModuleType("pkg_resources")
        stand_in.declare_namespace = lambda name: None  # type: ignore[attr-defined]
        sys.modules["pkg_resources"] = stand_in


_skip_namespace_packages()
