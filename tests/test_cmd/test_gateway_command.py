"""Tests of the command ``gateway``."""

from __future__ import annotations

from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.main import main


def test_faults_of_the_settings_are_numbered_and_named(tmp_path, capsys):
    """A gateway that did not start.

    Its settings lack a field and have a wrong one.  Whoever looks finds the number, both
    fields and what was expected, and no traceback.
    """
    path = tmp_path / 'gateway.jsonc'
    path.write_text('{"instance": "kochi-1", "retry_ratio": 7}')

    assert main(['gateway', str(path)]) == ExitCode.REFUSED
    told = capsys.readouterr().err
    assert told.startswith('error 5001: ')
    assert '"retry_ratio" is 7, expected a number from 0 to 1' in told
    assert '"store_address" is missing' in told


def test_no_settings_file_is_said(monkeypatch, capsys):
    monkeypatch.delenv('SAVORYCHUTE_CONFIG', raising=False)

    assert main(['gateway']) == ExitCode.REFUSED
    assert 'SAVORYCHUTE_CONFIG' in capsys.readouterr().err
