"""Tests that the HTTP API reference lists every error code and operator path."""

import pathlib
import re
import unittest

from ibispaddle_core.chat import refusal_error
from ibispaddle_core.idempotency import Reason
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import RefusalReason

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "ref" / "api.md").read_text()
CODE = re.compile(
    r"(?:ProtocolError\(\s*|_fail\(call, |request_refused\([\w.]+, )[\w.]+,\s*\"(\w+)\""
    r"|\"code\": \"(\w+)\"|code = \"(\w+)\"|_invalid\(\"(\w+)\""
)
PATH = re.compile(r"\"(/operator/[a-z/]+)\"")


def found_in_sources(pattern: re.Pattern[str]) -> set[str]:
    """Return the groups that a pattern matches in the sources of core and daemon."""
    found: set[str] = set()
    for package in ("core", "daemon"):
        for file in (ROOT / "packages" / package).rglob("*.py"):
            for match in pattern.finditer(file.read_text()):
                found.update(group for group in match.groups() if group)
    return found


class ApiPageTest(unittest.TestCase):
    def test_the_page_has_exactly_the_error_codes(self):
        """Guard against undocumented error codes and against documented ones that do not exist."""
        codes = found_in_sources(CODE) | {str(reason) for reason in Reason}
        codes |= {refusal_error(reason, RunState.UNKNOWN).code for reason in RefusalReason}
        self.assertGreater(len(codes), 40)
        errors = PAGE.partition("## Errors")[2].splitlines()
        rows = [line.split(" | ")[0] for line in errors if line.startswith("| `")]
        self.assertEqual(set(re.findall(r"`(\w+)`", "\n".join(rows))), codes)

    def test_every_operator_path_is_described(self):
        """Guard against an operator path that is not documented."""
        paths = found_in_sources(PATH)
        self.assertGreater(len(paths), 8)
        self.assertEqual(
            {path for path in paths if f"{path}`" not in PAGE.replace("?", "`?")}, set()
        )


if __name__ == "__main__":
    unittest.main()
