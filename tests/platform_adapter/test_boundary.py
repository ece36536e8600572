"""Tests that the platform's terms appear only in the adapter, its stand-ins and their tests."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
WIRE_NAMES = re.compile(
    r"Server-Stamp|Attempt-Id|Not-Executed|Expect-Instance|Token-Count|Prefix-Hash|At-Server|Deadline-Ms"
    r"|log-append|log-read|log-newest|keyed\.op|keyed\.servers|/ibispaddle/|IBISPADDLE_CONFIG",
    re.IGNORECASE,
)
STAND_INS = {"platform_store.py", "platform_runner.py"}


class BoundaryTest(unittest.TestCase):
    def test_wire_names_appear_only_in_the_adapter(self) -> None:
        """Guards against dependencies of the core and the daemon on the platform's headers and calls."""
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sorted((ROOT / "packages").rglob("*.py"))
            if path.name not in STAND_INS
            for match in WIRE_NAMES.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_the_adapter_only_translates(self) -> None:
        """Guards against timers, sockets and randomness in the adapter."""
        imports = re.compile(r"^(?:from|import) (\S+)", re.MULTILINE)
        forbidden = {"asyncio", "circuits", "random", "socket", "threading", "time"}
        for path in sorted((ROOT / "platform").rglob("*.py")):
            used = {name.split(".")[0] for name in imports.findall(path.read_text())}
            self.assertEqual(used & forbidden, set(), path.name)
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())


if __name__ == "__main__":
    unittest.main()
