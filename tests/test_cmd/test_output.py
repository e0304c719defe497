"""Tests of the output for operators."""

from __future__ import annotations

import json

import pytest

from savorychute.cmd.output import print_document

DOCUMENT = {
    'endpoints': [
        {'endpoint': 'engine-1', 'state': 'active', 'models': ['llama'], 'load': 0.25},
        {'endpoint': 'visit-log-1', 'state': 'draining', 'service': 'visit-log'},
    ],
    'version': 7,
    'limits': {'requests_per_s': 20.0},
    'empty': [],
}


def test_tables(capsys, snapshot):
    print_document(DOCUMENT, False)
    assert capsys.readouterr().out == snapshot


def test_json_is_one_line(capsys):
    print_document(DOCUMENT, True)
    out = capsys.readouterr().out
    assert out.count('\n') == 1
    assert json.loads(out) == DOCUMENT


@pytest.mark.parametrize('markup', ['[bold]x[/bold]', '[/]', ':smile:'])
def test_brackets_are_not_interpreted_as_markup(capsys, markup):
    """Guards against an audit that shows altered text, or fails.

    The table library interprets brackets as markup, and an operator may write them
    in the reason of a change.
    """
    print_document({'entries': [{'why': markup}]}, False)
    assert markup in capsys.readouterr().out


def test_control_characters_are_escaped(capsys):
    print_document({'entries': [{'why': 'a\x1b[2Kb'}]}, False)
    out = capsys.readouterr().out
    assert '\x1b' not in out
    assert r'"a\u001b[2Kb"' in out
