"""Tests of the modules that are loaded before the first test."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_all_modules_are_loaded_before_the_first_test():
    """Guards against property tests that fail once in 100 runs of CI.

    Their examples are drawn from the constants of all loaded modules, which would
    otherwise depend on the tests that a worker ran before.
    """
    module_names = {
        '.'.join(path.relative_to(ROOT).with_suffix('').parts)
        for package in ('savorychute', 'benches')
        for path in (ROOT / package).rglob('*.py')
        if path.name not in ('__init__.py', '__main__.py')
    }

    assert module_names <= set(sys.modules)
