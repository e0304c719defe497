"""The folders in which extensions are looked for."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

EXPECTED = 'a list of folders that exist'


def read_extension_paths(value: Any) -> tuple[str, ...]:
    """Put folders on the module search path, behind what is there.

    They go to the end, so that a folder cannot replace a module of the product or of
    the standard library.

    :param value: the list of the settings file; relative to the working directory.
    :raises ValueError: if one is no folder.
    """
    if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
        raise ValueError(EXPECTED)
    for each in value:
        if not Path(each).is_dir():
            raise ValueError(f'{EXPECTED}; "{each}" does not')
        path = str(Path(each).resolve())
        if path not in sys.path:
            sys.path.append(path)
    return tuple(value)
