"""Compare the effective configuration of two documents."""

from pathlib import Path
from typing import Annotated, Any

import typer

from ..output import print_json, print_table
from .config_show import effective_values, hide_secrets
from .options import AsJson, SiteFile

OldFile = Annotated[Path, typer.Argument(help="Base document before the change.")]
NewFile = Annotated[Path, typer.Argument(help="Base document after the change.")]


def compare(old: dict[str, Any], new: dict[str, Any]) -> list[tuple[str, Any, Any]]:
    """Return path, old value and new value of each difference; a missing value is None.

    >>> compare({"$.a": 1, "$.b": 2}, {"$.a": 1, "$.b": 3})
    [('$.b', 2, 3)]
    """
    paths = sorted(old.keys() | new.keys())
    return [(p, old.get(p), new.get(p)) for p in paths if old.get(p) != new.get(p)]


def command(old: OldFile, new: NewFile, site: SiteFile = None, as_json: AsJson = False) -> None:
    """Compare the effective configuration of two base documents, at one site.

    Example: ibispaddle config diff base.json base-new.json --site vasteras.json
    """
    before, after = (
        {path: hide_secrets(path, value) for path, value, _ in effective_values(base, site)}
        for base in (old, new)
    )
    rows = compare(before, after)
    if as_json:
        print_json([{"path": p, "old": o, "new": n} for p, o, n in rows])
    else:
        print_table(("path", "old", "new"), rows)
