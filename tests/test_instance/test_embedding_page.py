"""Tests the example on the documentation page about embedding."""

from __future__ import annotations

import textwrap
from pathlib import Path

PAGE = Path(__file__).parents[2] / 'docs' / 'reference' / 'embedding.rst'
MARKER = '.. code-block:: python\n'


def test_example_prints_the_documented_output(capsys):
    page = PAGE.read_text()
    rest = page.split(MARKER, 1)[1]
    block = rest.split('\nIt prints', 1)[0]

    exec(compile(textwrap.dedent(block), str(PAGE), 'exec'), {})

    assert capsys.readouterr().out == 'FinishResponse\n'
