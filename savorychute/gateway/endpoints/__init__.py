"""Which endpoints there are, how they fare, and which one gets a request."""

from __future__ import annotations

import importlib

CHOOSER_MODULES = ('least_outstanding', 'prompt_cache')


def load_choosers() -> None:
    """Import the modules that register choosers."""
    for name in CHOOSER_MODULES:
        importlib.import_module(f'{__name__}.{name}')
