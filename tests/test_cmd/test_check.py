"""Tests that ``savorychute check`` lists all faults of a settings file."""

from __future__ import annotations

import json

from savorychute.cmd.exit_code import ExitCode

VALID_SETTINGS = """{
  "instance": "a-1", "region": "kerala", "failure_domain": "kochi-hall",
  "host": "127.0.0.1", "log_address": "127.0.0.1:1", "list_address": "127.0.0.1:2",
  "peer_keys": [{"key_id": 1, "secret": "00112233445566778899aabbccddeeff"}]
}
"""


def test_file_without_faults_is_accepted(run, tmp_path):
    path = tmp_path / 'good.jsonc'
    path.write_text(VALID_SETTINGS)
    assert run('check', str(path)) == (ExitCode.OK, f'{path}: no faults\n', '')


def test_faults_are_listed_as_json(run, tmp_path):
    path = tmp_path / 'bad.jsonc'
    path.write_text(VALID_SETTINGS.replace('"kerala"', '7').replace('"host"', '"hst"'))
    code, out, _ = run('check', str(path), '--json')
    assert code == ExitCode.REFUSED
    document = json.loads(out)
    assert document['ok'] is False
    assert [fault.split(': ')[0] for fault in document['faults']] == [
        f'{path}:1',
        f'{path}:2',
        f'{path}:3',
    ]
