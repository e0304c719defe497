"""The files that hold days."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

DAYS = Path(__file__).parents[2] / 'deploy' / 'days'


class DayFile(NamedTuple):
    """A day, and the kinds of trouble in it."""

    path: Path
    kinds: frozenset[str]


def read_days(names: Sequence[str], folder: Path = DAYS) -> list[DayFile]:
    """Return days in the order of their names.

    :param names: which; none for all.
    :param folder: where they lie.
    """
    days = []
    for path in sorted(folder.glob('*.toml')):
        if names and path.stem not in names:
            continue
        document = tomllib.loads(path.read_text())
        entries = document.get('plan', []) + document.get('faults', [])
        days.append(DayFile(path, frozenset(entry['kind'] for entry in entries)))
    return days
