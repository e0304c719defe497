"""Tests that the example scenario of the reference runs."""

from __future__ import annotations

import textwrap
from pathlib import Path

from savorychute.cmd.exit_code import ExitCode

PAGE = Path(__file__).parents[2] / 'docs' / 'reference' / 'scenarios.rst'


def test_example_meets_its_expectations(run, tmp_path):
    text = PAGE.read_text('utf-8').split('.. code-block:: text\n', 1)[1]
    example = textwrap.dedent(text.split('\n\nThe file', 1)[0])
    path = tmp_path / 'crash.jsonc'
    path.write_text(example)
    code, out, _ = run('scenario', 'run', str(path), '--json')
    assert code == ExitCode.OK
    assert '"failures": []' in out


def test_fault_is_reported_with_its_line(run, tmp_path):
    path = tmp_path / 'wrong.jsonc'
    path.write_text('{"name": "x", "story": "y",\n "at": [{"do": "earthquake"}]}')
    code, _, err = run('scenario', 'run', str(path))
    assert code == ExitCode.REFUSED
    assert f'{path}:2' in err
    assert 'earthquake' in err
