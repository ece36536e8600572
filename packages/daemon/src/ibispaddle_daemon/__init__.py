"""The ibispaddle instance: sockets and timers around the core."""

import sys
from types import ModuleType


def _skip_namespace_packages() -> None:
    """Replace `pkg_resources` by a stub, because its import takes longer than that of circuits.

    circuits only calls its `declare_namespace`, to allow extensions of circuits; none are used here.
    Without that function, circuits would read the metadata of its distribution instead.
    """
    if "pkg_resources" not in sys.modules:
        stub = ModuleType("pkg_resources")
        stub.declare_namespace = lambda name: None  # type: ignore[attr-defined]
        sys.modules["pkg_resources"] = stub


_skip_namespace_packages()
