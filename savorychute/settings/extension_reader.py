"""Reader of the setting that lists extension modules."""

from __future__ import annotations

import importlib
from typing import Any

EXPECTED = 'a list of names of modules that have a function "setup"'


def read_extensions(value: Any) -> tuple[str, ...]:
    """Import the named modules, so that they register their variants.

    Settings that choose a variant are read after this one, so they can name
    variants that an extension registers.

    :param value: the list in the settings file.
    :raises ValueError: if a module cannot be imported or is not an extension.
    """
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise ValueError(EXPECTED)
    for name in value:
        _check_extension(name)
    return tuple(value)


def _check_extension(name: str) -> None:
    try:
        module = importlib.import_module(name)
    except (ImportError, ValueError) as error:
        raise ValueError(f'{EXPECTED}; "{name}" gave: {error}') from None
    if not callable(getattr(module, 'setup', None)):
        raise ValueError(f'{EXPECTED}; "{name}" has none')
