"""Tests of what is loaded before the first test."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_all_modules_are_loaded_before_the_first_test():
    """A law that failed once in a hundred runs of CI.

    Its examples are drawn from the constants of all modules loaded so far, and the tests
    that a worker had run before decided which these were.
    """
    wanted = {
        '.'.join(path.relative_to(ROOT).with_suffix('').parts)
        for package in ('savorychute', 'benches')
        for path in (ROOT / package).rglob('*.py')
        if path.name not in ('__init__.py', '__main__.py')
    }

    assert wanted <= set(sys.modules)
