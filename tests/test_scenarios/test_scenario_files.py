"""Tests of scenario files and their validation."""

from __future__ import annotations

from pathlib import Path

import pytest

from savorychute.cmd.main import main
from savorychute.errors import ScenarioError
from savorychute.testing.scenario_file import (
    list_bundled,
    parse_scenario,
    read_bundled,
    read_scenario,
)
from savorychute.testing.scenario_run import run_scenario

SCENARIOS = sorted((Path(__file__).parent.parent / 'scenarios').glob('*.jsonc'))

GOOD = """{
  "name": "good",
  "story": "little load",
  "load": {"requests_per_s": 5, "duration_ms": 2000},
  "at": [
    {"ms": 500, "do": "reports-lag", "delay_ms": 1000}
  ],
  "expect": [
    {"promise": "all"},
    {"measure": "attainment", "at_least": 0.5}
  ]
}
"""


@pytest.mark.parametrize('path', SCENARIOS, ids=lambda path: path.stem)
def test_scenario_holds(path):
    assert run_scenario(read_scenario(path)).failures == ()


@pytest.mark.parametrize('name', list_bundled())
def test_bundled_scenario_is_well_formed(name):
    assert read_bundled(name).name == name


@pytest.mark.parametrize(
    'old, new, line, text',
    [
        ('"reports-lag"', '"rain"', 6, "no fault called 'rain'"),
        ('"reports-lag"', '"reports-lag", "tragt": "x"', 6, 'tragt'),
        ('"ms": 500', '"ms": "soon"', 6, 'Expected `float`'),
        ('"all"', '"peace"', 9, "no promise called 'peace'"),
        ('"attainment"', '"beauty"', 10, "no measure called 'beauty'"),
        (', "at_least": 0.5', '', 10, 'at_least'),
        ('"duration_ms": 2000', '"duration_ms": []', 4, 'Expected `float`'),
    ],
)
def test_error_in_a_file_is_reported_with_its_line(old, new, line, text):
    with pytest.raises(ScenarioError) as raised:
        parse_scenario(GOOD.replace(old, new), 'x.jsonc')
    assert f'x.jsonc:{line}: ' in raised.value.message
    assert text in raised.value.message


def test_syntax_error_is_reported_with_its_line():
    with pytest.raises(ScenarioError, match=r'x\.jsonc.*:6'):
        parse_scenario(GOOD.replace('{"ms": 500,', '{"ms" 500,'), 'x.jsonc')


def test_failed_expectation_is_reported():
    text = GOOD.replace('"at_least": 0.5', '"at_most": 0.01')
    (failure,) = run_scenario(parse_scenario(text, 'x')).failures
    assert failure.startswith('attainment is ')


def test_same_seed_gives_identical_figures():
    scenario = parse_scenario(GOOD, 'x')
    first = run_scenario(scenario, seed=3).figures
    assert run_scenario(scenario, seed=3).figures == first
    assert run_scenario(scenario, seed=4).figures != first


def test_command_line_reports_an_error_and_a_result(tmp_path, capsys):
    path = tmp_path / 'good.jsonc'
    path.write_text(GOOD)
    assert main(['scenario', 'run', str(path), '--json']) == 0
    assert '"failures": []' in capsys.readouterr().out
    path.write_text(GOOD.replace('"reports-lag"', '"rain"'))
    assert main(['scenario', 'run', str(path)]) == 1
    assert f'{path}:6' in capsys.readouterr().err
