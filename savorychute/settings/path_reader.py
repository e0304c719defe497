"""Reader of the setting that lists folders with extensions."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

EXPECTED = 'a list of folders that exist'


def read_extension_paths(value: Any) -> tuple[str, ...]:
    """Append folders to the module search path.

    They are appended at the end, so that a folder cannot replace a module of the
    product or of the standard library.

    :param value: the list in the settings file; relative to the working directory.
    :raises ValueError: if an entry is not a folder.
    """
    if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
        raise ValueError(EXPECTED)
    for folder in value:
        if not Path(folder).is_dir():
            raise ValueError(f'{EXPECTED}; "{folder}" does not')
        path = str(Path(folder).resolve())
        if path not in sys.path:
            sys.path.append(path)
    return tuple(value)
