"""Tests of the table of lost and late requests."""

from __future__ import annotations

import json

import pytest

from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.main import main
from savorychute.explain.loss_cause import LossCause, find_cause

STREAM = {
    'state': 'answered',
    'status': 200,
    'events': 9,
    'target_ms': 300,
    'gap_target_ms': 150,
    'first_event_ms': 200,
    'gap_ms': 90,
}
PLAIN = {'state': 'answered', 'status': 200, 'duration_ms': 80, 'target_ms': 150}


@pytest.mark.parametrize(
    ('fields', 'cause'),
    [
        (STREAM, LossCause.IN_TIME),
        (STREAM | {'first_event_ms': 301}, LossCause.LATE_FIRST_EVENT),
        (STREAM | {'gap_ms': 151}, LossCause.LATE_PAUSE),
        (STREAM | {'gap_ms': 900, 'gap_target_ms': 0}, LossCause.IN_TIME),
        (PLAIN, LossCause.IN_TIME),
        (PLAIN | {'duration_ms': 151}, LossCause.LATE_ANSWER),
        ({'state': 'cut-connection-lost'}, LossCause.CUT),
        ({'state': 'timeout', 'status': 504}, LossCause.TIMED_OUT),
        ({'state': 'overload', 'status': 503}, LossCause.SHED),
        ({'state': 'no-endpoint', 'status': 503}, LossCause.REFUSED),
        ({'state': 'endpoint-failed', 'status': 500}, LossCause.ENDPOINT_FAILED),
        ({'state': 'connection-lost', 'status': 502}, LossCause.UNKNOWN),
        ({'state': 'outcome-unknown-503', 'status': 502}, LossCause.UNKNOWN),
        ({'state': 'caller-left'}, LossCause.CALLER_LEFT),
    ],
)
def test_fields_of_the_last_line_determine_the_cause(fields, cause):
    assert find_cause(fields) is cause


def write_log(path, requests):
    lines = [
        {
            'message_type': 'request-finished',
            'timestamp': 100.0 + second,
            'instance': 'kochi-1',
            'request_id': f'r{number}',
            'item': 'chat',
            'rank': 1,
            'endpoint': 'e1',
        }
        | fields
        for number, (second, fields) in enumerate(requests)
    ]
    lines.append({'message_type': 'log-lines-omitted', 'timestamp': 130.0, 'count': 7})
    path.write_text('\n'.join(json.dumps(line) for line in lines))


def test_table_shows_the_worst_second_and_omitted_lines(tmp_path, capsys):
    """Guards against a table that hides when requests were lost, or that lines are missing.

    An engine crashes in second 4 and truncates two streams; three other streams pause
    in second 9. The table shows both, and that seven lines were omitted.
    """
    path = tmp_path / 'log'
    write_log(
        path,
        [
            (0, STREAM),
            (4, {'state': 'cut-connection-lost'}),
            (4, {'state': 'cut-connection-lost'}),
            (9, STREAM | {'gap_ms': 160}),
            (9, STREAM | {'gap_ms': 170}),
            (9, STREAM | {'gap_ms': 180}),
        ],
    )

    assert main(['losses', '--json', str(path)]) == ExitCode.OK
    document = json.loads(capsys.readouterr().out)
    rows = {row['cause']: row for row in document['losses']}

    assert rows['cut in the answer']['worst_seconds'] == '4 (2)'
    assert rows['late by a pause']['requests'] == 3
    assert rows['late by a pause']['share'] == 0.5
    assert rows['late by a pause']['endpoints'] == 'e1 (3)'
    assert document['omitted_lines'] == 7


def test_logs_without_requests_are_refused(tmp_path):
    path = tmp_path / 'log'
    path.write_text('')

    assert main(['losses', '--json', str(path)]) == ExitCode.REFUSED
