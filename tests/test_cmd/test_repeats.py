"""Tests of the sums of retries over the logs of several instances."""

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


def make_decision(instance, at_s, state='granted', service='pool', instances=2):
    return make_line(
        instance,
        at_s,
        'repeat-decided',
        service=service,
        state=state,
        instances=instances,
    )


def test_sum_over_instances_separates_runs_before_and_after_a_restart(tmp_path, capsys):
    """Guards against retries that cannot be summed over instances from the logs."""
    first = tmp_path / 'kochi'
    second = tmp_path / 'thrissur'
    lines = [
        make_decision('kochi-1', 0),
        make_decision('kochi-1', 20),
        make_decision('kochi-1', 21),
        make_line('kochi-1', 24, 'instance-started'),
        make_decision('kochi-1', 26, instances=1),
        make_decision('kochi-1', 27, 'withheld', instances=1),
    ]
    first.write_text('\n'.join(json.dumps(line) for line in lines))
    lines = [
        make_decision('thrissur-1', 23),
        make_decision('thrissur-1', 23, service='desk'),
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


def test_window_has_the_requested_length(tmp_path, capsys):
    path = tmp_path / 'log'
    lines = [make_decision('kochi-1', at_s) for at_s in (0, 3, 6)]
    path.write_text('\n'.join(json.dumps(line) for line in lines))

    assert main(['repeats', '--json', '--window-s', '5', str(path)]) == ExitCode.OK
    assert json.loads(capsys.readouterr().out)['services'][0]['granted'] == 2


def test_logs_without_retries_are_refused(tmp_path):
    path = tmp_path / 'log'
    path.write_text('')

    assert main(['repeats', str(path)]) == ExitCode.REFUSED
