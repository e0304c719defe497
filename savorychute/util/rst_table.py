"""Formatting of reStructuredText tables and titles."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def format_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a simple table.

    :param head: the column titles.
    :param rows: the cells; the first cell of a row must not be empty.
    """
    widths = [
        max(len(row[column]) for row in (head, *rows)) for column in range(len(head))
    ]
    rule = '  '.join('=' * width for width in widths)
    lines = [rule, _format_row(head, widths), rule]
    lines += [_format_row(row, widths) for row in rows]
    lines.append(rule)
    return '\n'.join(lines) + '\n'


def format_title(title: str, mark: str = '=') -> str:
    """Return a heading followed by a blank line.

    :param title: the text.
    :param mark: the character of the underline.
    """
    return f'{title}\n{mark * len(title)}\n\n'


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    # An empty last cell would leave trailing blanks, which editors strip.
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return '  '.join(cells).rstrip()
