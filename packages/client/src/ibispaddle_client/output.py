"""Output of commands: tables for people, JSON for scripts."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

import typer
from rich.console import Console
from rich.table import Table


def print_json(value: Any) -> None:
    """Print a value as one JSON document."""
    typer.echo(json.dumps(value, indent=2, sort_keys=True, ensure_ascii=False))


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows as a table with a header."""
    table = Table(box=None, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(value) for value in row))
    Console(soft_wrap=True).print(table)
