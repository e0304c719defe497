"""Files that describe days."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

DAYS_FOLDER = Path(__file__).parents[2] / 'deploy' / 'days'


class DayFile(NamedTuple):
    """The file of a day and the kinds of faults that it contains."""

    path: Path
    kinds: frozenset[str]


def read_days(names: Sequence[str], folder: Path = DAYS_FOLDER) -> list[DayFile]:
    """Return the days sorted by name.

    :param names: names of the days to return; empty for all.
    :param folder: the folder of the files.
    """
    days = []
    for path in sorted(folder.glob('*.toml')):
        if names and path.stem not in names:
            continue
        document = tomllib.loads(path.read_text())
        entries = document.get('plan', []) + document.get('faults', [])
        days.append(DayFile(path, frozenset(entry['kind'] for entry in entries)))
    return days
