"""Import of all modules of a package."""

from __future__ import annotations

import importlib
import pkgutil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import ModuleType

MAIN_MODULE = '__main__'


def load_all(package: ModuleType) -> None:
    """Import all modules of a package except ``__main__`` modules.

    :param package: the imported package.
    """
    for module_info in pkgutil.walk_packages(package.__path__, f'{package.__name__}.'):
        if module_info.name.rpartition('.')[2] != MAIN_MODULE:
            importlib.import_module(module_info.name)
