"""Tests of the day files and of the program that runs them."""

from __future__ import annotations

import json
import stat

import pytest

from benches.days.__main__ import main
from benches.days.day_file import read_days
from benches.days.day_player import read_kinds
from benches.days.day_result import DayResult, read_report

KINDS = """Each entry has 'at'.
burst: x times the traffic
roll_term: share (1) get SIGTERM

these may come too:
hup: share (.3) get SIGHUP
"""
REPORT = {
    'G': 0.8816,
    'served': 0.9747,
    'refused': 0.01,
    'failed': 0.0095,
    'breaks': {'DRAIN': 2},
    'fault': None,
}


def test_every_day_file_has_kinds():
    days = read_days([])

    assert len(days) > 50
    assert all(day.kinds for day in days)


def test_a_day_is_found_by_its_name():
    (day,) = read_days(['pair-roll-burst'])

    assert day.kinds == {'roll_term', 'burst'}


def test_kinds_are_read_from_the_list_of_the_bench():
    assert read_kinds(KINDS) == {'burst', 'roll_term', 'hup'}


def test_report_becomes_a_table_row():
    result = read_report('kochi', 'roll', json.dumps(REPORT))

    assert result.row() == (
        '| kochi | roll | 0.882 | 0.975 | 0.010 | 0.009 | DRAIN 2 |'
    )


def test_row_of_a_day_that_was_not_run_gives_the_reason():
    result = DayResult('kochi', 'roll', error='not played, status 2: no site')

    assert result.row() == '| kochi | roll | | | | | not played, status 2: no site |'


@pytest.fixture
def bench(tmp_path):
    """A fake bench; the day ``roll`` writes no report, all others succeed."""
    program = tmp_path / 'bench'
    program.write_text(
        '#!/bin/sh\n'
        'case "$1 $3" in\n'
        f"kinds*) printf '%s' '{KINDS}' | sed \"s/'//g\" ;;\n"
        '*roll.toml) echo "too busy"; exit 3 ;;\n'
        f'run*) echo \'{json.dumps(REPORT | {"breaks": {}})}\' > "$6" ;;\n'
        'esac\n'
    )
    program.chmod(program.stat().st_mode | stat.S_IXUSR)
    return program


def run_days(bench, capsys, *days):
    """Run some days; return the status and the table rows."""
    names = [part for day in days for part in ('--day', day)]
    status = main(['--bench', str(bench), '--why', 'test', *names, 'kochi.toml'])
    return status, capsys.readouterr().out.splitlines()[2:]


def test_days_run_where_their_faults_are_possible(bench, capsys):
    status, rows = run_days(bench, capsys, 'burst', 'cut')

    assert status == 0
    assert rows == ['| kochi | burst | 0.882 | 0.975 | 0.010 | 0.009 | - |']


def test_a_day_without_a_report_is_a_failure(bench, capsys):
    status, rows = run_days(bench, capsys, 'roll')

    assert status == 1
    assert rows == ['| kochi | roll | | | | | not played, status 3: too busy |']
