"""Tests of the command ``gateway``."""

from __future__ import annotations

from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.main import main


def test_settings_faults_are_reported_with_code_and_names(tmp_path, capsys):
    """Guards against a traceback instead of a list of faults.

    The settings lack one field and have an invalid value in another. The error output
    has the code, both fields and the expected value.
    """
    path = tmp_path / 'gateway.jsonc'
    path.write_text('{"instance": "kochi-1", "retry_ratio": 7}')

    assert main(['gateway', str(path)]) == ExitCode.REFUSED
    errors = capsys.readouterr().err
    assert errors.startswith('error 5001: ')
    assert '"retry_ratio" is 7, expected a number from 0 to 1' in errors
    assert '"store_address" is missing' in errors


def test_missing_settings_file_is_reported(monkeypatch, capsys):
    monkeypatch.delenv('SAVORYCHUTE_CONFIG', raising=False)

    assert main(['gateway']) == ExitCode.REFUSED
    assert 'SAVORYCHUTE_CONFIG' in capsys.readouterr().err
