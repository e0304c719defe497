"""Prints documents as tables or as JSON."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from rich.console import Console
from rich.table import Table

if TYPE_CHECKING:
    from argparse import ArgumentParser

WIDE_COLUMNS = 200


def add_output_arguments(parser: ArgumentParser) -> None:
    """Add ``--json``."""
    parser.add_argument('--json', action='store_true', help='print one JSON object')


def make_console() -> Console:
    """Return a console on standard output; it is wide if that is not a terminal."""
    width = None if sys.stdout.isatty() else WIDE_COLUMNS
    return Console(highlight=False, markup=False, emoji=False, width=width)


def print_document(document: dict[str, Any], as_json: bool) -> None:
    """Print *document* as one line of JSON, or as tables.

    Each list of objects becomes a table; all other values share a table of two
    columns.

    :param document: a JSON object.
    :param as_json: whether to print JSON, for programs that read the output.
    """
    if as_json:
        json.dump(document, sys.stdout, ensure_ascii=False)
        sys.stdout.write('\n')
        return
    console = make_console()
    pairs = {}
    for name, value in document.items():
        if _is_object_list(value):
            console.print(make_table(name, value))
        else:
            pairs[name] = value
    if pairs:
        console.print(_make_pair_table(pairs))


def make_table(title: str, rows: list[dict[str, Any]]) -> Table:
    """Return a table with a column for each name that occurs in *rows*."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(title=title, title_justify='left')
    for name in columns:
        table.add_column(name, overflow='fold')
    for row in rows:
        table.add_row(*[format_value(row.get(name, '')) for name in columns])
    return table


def format_value(value: Any) -> str:
    """Return the text of a table cell.

    Control characters are escaped: in text from other users they could make the
    terminal display false content.
    """
    if isinstance(value, str) and value.isprintable():
        return value
    if isinstance(value, float):
        return f'{value:.4g}'
    return json.dumps(value, ensure_ascii=False)


def _make_pair_table(pairs: dict[str, Any]) -> Table:
    table = Table(show_header=False)
    table.add_column('name')
    table.add_column('value', overflow='fold')
    for name, value in pairs.items():
        if isinstance(value, dict):
            table.add_row(name, json.dumps(value, ensure_ascii=False, indent=2))
        else:
            table.add_row(name, format_value(value))
    return table


def _is_object_list(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )
