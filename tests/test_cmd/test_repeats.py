"""Tests of the sums of repeats over several instances' logs."""

from __future__ import annotations

import json

from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.main import main


def make_line(instance, at_s, event, **fields):
    return {
        'message_type': event,
        'timestamp': 500.0 + at_s,
        'instance': instance,
        'request_id': 'r',
    } | fields


def decide(instance, at_s, state='granted', service='pool', instances=2):
    return make_line(
        instance,
        at_s,
        'repeat-decided',
        service=service,
        state=state,
        instances=instances,
    )


def test_sum_over_instances_tells_the_runs_before_and_after_a_restart(tmp_path, capsys):
    """Guards against a sum over instances that nobody can make from the logs."""
    first = tmp_path / 'kochi'
    second = tmp_path / 'thrissur'
    lines = [
        decide('kochi-1', 0),
        decide('kochi-1', 20),
        decide('kochi-1', 21),
        make_line('kochi-1', 24, 'instance-started'),
        decide('kochi-1', 26, instances=1),
        decide('kochi-1', 27, 'withheld', instances=1),
    ]
    first.write_text('\n'.join(json.dumps(line) for line in lines))
    lines = [
        decide('thrissur-1', 23),
        decide('thrissur-1', 23, service='desk'),
        make_line(
            'thrissur-1', 25, 'request-finished', service='pool', duration_ms=2000
        ),
    ]
    second.write_text('\n'.join(json.dumps(line) for line in lines))

    assert main(['repeats', '--json', str(first), str(second)]) == ExitCode.OK
    pool, desk = json.loads(capsys.readouterr().out)['services']

    assert (pool['service'], pool['begin_s']) == ('pool', 20)
    assert (pool['granted'], pool['withheld'], pool['requests']) == (4, 1, 1)
    assert pool['runs'] == (
        'kochi-1#0: 2 (1 of 2), kochi-1#1: 1 (1 of 1), thrissur-1#0: 1 (1 of 2)'
    )
    assert desk['granted'] == 1


def test_window_is_as_long_as_asked_for(tmp_path, capsys):
    path = tmp_path / 'log'
    lines = [decide('kochi-1', at_s) for at_s in (0, 3, 6)]
    path.write_text('\n'.join(json.dumps(line) for line in lines))

    assert main(['repeats', '--json', '--window-s', '5', str(path)]) == ExitCode.OK
    assert json.loads(capsys.readouterr().out)['services'][0]['granted'] == 2


def test_logs_without_repeats_are_said(tmp_path):
    path = tmp_path / 'log'
    path.write_text('')

    assert main(['repeats', str(path)]) == ExitCode.REFUSED
