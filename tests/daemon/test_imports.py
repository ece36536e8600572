"""Tests of the modules that the daemon's modules import."""

import ast
import unittest
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import ibispaddle_daemon

ROOT = Path(ibispaddle_daemon.__file__).parent


def module_name(path: Path) -> str:
    """Return a module's name below the package, as in `store.codec`; a package's is its folder."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for path in ROOT.rglob("*.py")}


def imported_modules(name: str, path: Path) -> Iterator[str]:
    """Yield the daemon's modules that a module imports anywhere, also only for annotations."""
    package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            bases = [alias.name for alias in node.names]
            yield from (base.partition(".")[2] for base in bases if base.startswith(ROOT.name))
        elif isinstance(node, ast.ImportFrom):
            prefix = package[: len(package) - node.level + 1] if node.level else []
            base = ".".join([*filter(None, prefix), *filter(None, [node.module])])
            if not node.level:
                if base.split(".")[0] != ROOT.name:
                    continue
                base = base.partition(".")[2]
            for alias in node.names:
                member = f"{base}.{alias.name}" if base else alias.name
                yield member if member in MODULES else base


class ImportTest(unittest.TestCase):
    def test_no_import_circle(self) -> None:
        """Guards against modules that can only be understood, tested and loaded together."""
        graph = {
            name: {other for other in imported_modules(name, path) if other}
            for name, path in MODULES.items()
        }
        self.assertIn("http_listener", graph["http_exchange"])
        self.assertIn("absl_logs", graph["logs"])  # Imported in a function.
        self.assertIn("buffer_limit", graph["forwarding.attempts"])
        unknown = {other for others in graph.values() for other in others} - MODULES.keys()
        self.assertEqual(unknown, set())
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as exc:
            self.fail(" -> ".join(reversed(exc.args[1])))


if __name__ == "__main__":
    unittest.main()
