"""Tests of ``savorychute capacity``."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from savorychute.cmd.main import main
from savorychute.errors import SavorychuteError
from savorychute.gateway.duties.service_file import read_service_file

EXAMPLE = Path(__file__).parents[2] / 'docs' / 'tutorial' / 'pool-capacity.jsonc'


def test_each_policy_is_shown_with_its_price(capsys):
    assert main(['capacity', str(EXAMPLE), '--json']) == 0

    rows = {
        row['policy']: row for row in json.loads(capsys.readouterr().out)['policies']
    }
    assert rows['as-found']['lasting'] == 30
    assert rows['reclaimable']['left_after_a_reclaim'] >= 30
    assert rows['reclaimable']['price_a_second'] < rows['as-found']['price_a_second']


def test_plot_is_written(tmp_path, capsys):
    target = tmp_path / 'fleets.png'

    assert main(['capacity', str(EXAMPLE), '--plot', str(target)]) == 0

    assert capsys.readouterr().out
    assert target.stat().st_size > 1_000


@pytest.mark.parametrize('text', ['', '[]', '{"service": "pool"}', '{"domains": {}}'])
def test_file_with_faults_is_refused(tmp_path, text):
    path = tmp_path / 'pool.jsonc'
    path.write_text(text)

    with pytest.raises(SavorychuteError):
        read_service_file(path)
