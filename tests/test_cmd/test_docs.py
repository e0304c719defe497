"""Tests that the committed reference pages match the code."""

from __future__ import annotations

from pathlib import Path

import pytest

from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.reference_pages import PAGES
from savorychute.util.rst_table import format_table

REFERENCE = Path(__file__).parents[2] / 'docs' / 'reference'


@pytest.mark.parametrize('name', PAGES)
def test_committed_page_is_current(name):
    assert (REFERENCE / name).read_text('utf-8') == PAGES[name]()


def test_outdated_page_is_listed_and_written(run, tmp_path):
    assert run('docs', '--directory', str(tmp_path))[0] == ExitCode.OK
    page = tmp_path / 'settings.rst'
    page.write_text('old')
    code, out, _ = run('docs', '--directory', str(tmp_path), '--check')
    assert (code, out) == (ExitCode.REFUSED, 'settings.rst: old\n')
    assert page.read_text() == 'old'
    assert run('docs', '--directory', str(tmp_path))[1] == 'settings.rst: written\n'
    assert run('docs', '--directory', str(tmp_path), '--check')[0] == ExitCode.OK


def test_table_is_aligned():
    assert format_table(('a', 'bb'), [('long', ''), ('x', 'y')]) == (
        '====  ==\na     bb\n====  ==\nlong\nx     y\n====  ==\n'
    )
