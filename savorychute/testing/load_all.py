"""Loads all modules of a package."""

from __future__ import annotations

import importlib
import pkgutil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import ModuleType

PROGRAM = '__main__'


def load_all(package: ModuleType) -> None:
    """Import all modules of a package but its programs.

    :param package: has been imported.
    """
    for found in pkgutil.walk_packages(package.__path__, f'{package.__name__}.'):
        if found.name.rpartition('.')[2] != PROGRAM:
            importlib.import_module(found.name)
