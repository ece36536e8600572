"""What keeps the start of a process short."""

import sys
from types import ModuleType


def skip_namespace_packages() -> None:
    """Let circuits be imported without `pkg_resources`, which takes longer than circuits itself.

    circuits calls one function of it, which declares a namespace package for extensions of circuits.
    None is used here.
    """
    if "pkg_resources" not in sys.modules:
        stand_in = ModuleType("pkg_resources")
        stand_in.declare_namespace = lambda name: None  # type: ignore[attr-defined]
        sys.modules["pkg_resources"] = stand_in
