"""The ibispaddle instance: sockets and timers around the core."""

import sys

# circuits asks for this module only to declare a namespace, and does without it. Its import takes a
# quarter of the time in which an instance starts.
sys.modules.setdefault("pkg_resources", None)  # type: ignore[arg-type]
