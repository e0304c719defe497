"""Tests for the dialect of model engines."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.actions import PollEndpoint, SendOrder, StartAttempt
from savorychute.endpoints import DIALECTS
from savorychute.http.call_failure import CallFailure
from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptFailed,
    AttemptStarted,
    LoadReported,
)

ENGINE = DIALECTS.get('openai-engine')
EVENT_STREAM = {'content-type': 'text/event-stream; charset=utf-8', 'x-stream-id': 's9'}
START = StartAttempt(
    attempt_id='a1',
    request_id='r1',
    endpoint='e1',
    dialect='openai-engine',
    host='127.0.0.1',
    port=1,
    method='POST',
    path='/v1/chat/completions',
    body=b'{"model":"x","messages":[],"seed":7,"priority":0}',
    model='m',
    priority=4,
    stream=True,
    stream_id='c.a1/2',
    resume_offset=-1,
    timeout_ms=9_000,
)
LOAD = {
    'age_ms': 100,
    'running': 2,
    'waiting': 1,
    'kv_free_share': 0.5,
    'step_ms': 5.5,
    'models': ['m'],
    'state': 'active',
    'cache_sequence': 3,
    'cached': [1, 2],
}


def event(offset, text, count=1):
    chunk = {'choices': [{'delta': {'content': text}}], 'token_count': count}
    return b'id: %d\ndata: %b\n\n' % (offset, json.dumps(chunk).encode())


def read(parts, start=START, status=200, headers=EVENT_STREAM, end=True):
    reader = ENGINE.make_reader(start)
    inputs = list(reader.read_head(status, headers))
    for part in parts:
        inputs += reader.read_data(part)
    if end:
        inputs += reader.read_end()
    return inputs


def fault(reason, **changes):
    failed = AttemptFailed('a1', True, False, False, False, reason)
    return failed._replace(**changes)


def test_attempt_carries_ids_and_the_fields_that_the_instance_sets():
    request = ENGINE.build_attempt(START, ())

    assert json.loads(request.body) == {
        'model': 'm',
        'messages': [],
        'seed': 7,
        'priority': 4,
        'stream': True,
    }
    assert request.header('x-attempt-id') == 'a1'
    assert request.header('x-stream-id') == 'c.a1/2'
    assert request.header('x-timeout-ms') == '9000'
    assert request.header('x-keep-on-close') == '1'


def test_resume_and_cancel_name_the_stream():
    resume = ENGINE.build_attempt(START._replace(resume_offset=0), ())
    cancel = ENGINE.build_cancel(START, keep=True)

    assert resume.target == '/v1/streams/c.a1%2F2/resume'
    assert json.loads(resume.body) == {'offset': 0}
    assert cancel.target == '/v1/streams/c.a1%2F2/cancel'
    assert json.loads(cancel.body) == {'keep': True}
    assert ENGINE.build_cancel(START._replace(stream=False), keep=False) is None


def test_resume_without_credit_asks_for_an_interrupted_stream():
    start = START._replace(resume_offset=3, only_if_interrupted=True)

    body = json.loads(ENGINE.build_attempt(start, ()).body)

    assert body == {'offset': 3, 'only_if_interrupted': True}


def test_stream_is_read_as_plain_text_with_offsets():
    inputs = read([event(0, 'air'), event(1, ' löck', 2), b'data: [DONE]\n\n'])

    assert inputs == [
        AttemptStarted('a1', 200, EVENT_STREAM['content-type'], 's9'),
        AttemptChunk('a1', 0, 1, b'air'),
        AttemptChunk('a1', 1, 2, ' löck'.encode()),
        AttemptEnded('a1', 3),
    ]


def test_stream_without_end_marker_has_failed():
    """A proxy closes the response cleanly after the engine has crashed.

    Without the end marker the answer is not complete.
    """
    inputs = read([event(0, 'air')])

    assert inputs[-1] == fault('ended without [DONE]')


@pytest.mark.parametrize(
    'part, reason',
    [
        (b'event: error\ndata: {}\n\n', 'the engine sent an error event'),
        (b'data: {"choices": 1}\n\n', 'Expected `array`, got `int` - at `$.choices`'),
        (b'id: x\ndata: {}\n\n', "invalid literal for int() with base 10: 'x'"),
    ],
)
def test_invalid_event_fails_the_attempt(part, reason):
    assert read([part])[-1] == fault(reason)


def test_data_after_the_end_is_ignored():
    inputs = read([b'data: [DONE]\n\n' + event(0, 'late'), event(1, 'later')])

    assert inputs[1:] == [AttemptEnded('a1', 0)]


@pytest.mark.parametrize(
    'status, headers, failed',
    [
        (
            503,
            {'x-not-started': '1'},
            fault('refused with status 503', refused=True),
        ),
        (
            429,
            {'x-not-started': '1', 'x-leaving': '1'},
            fault('refused with status 429', refused=True, leaving=True),
        ),
        (
            429,
            {'x-not-started': '1', 'x-paused': '1'},
            fault('refused with status 429', refused=True, paused=True),
        ),
        (503, {}, fault('status 503')),
        (500, {'x-not-started': '1'}, fault('status 500')),
    ],
)
def test_refusal_requires_the_not_started_header(status, headers, failed):
    assert read([b'why'], status=status, headers=headers) == [failed]
    document_start = START._replace(stream=False)
    assert read([b'why'], document_start, status, headers) == [failed]


def test_unknown_stream_is_not_a_refusal():
    resumed = START._replace(resume_offset=5)

    assert read([], resumed, 404, {}) == [fault('the engine has no such stream')]


def test_4xx_of_the_engine_is_passed_on_as_a_response():
    inputs = read([b'{"error"', b':1}'], status=400, headers={'content-type': 'x'})

    assert inputs == [
        AttemptStarted('a1', 400, 'x', 'c.a1/2'),
        AttemptChunk('a1', 0, 0, b'{"error":1}'),
        AttemptEnded('a1', 0),
    ]


def test_document_is_buffered_until_it_is_complete():
    start = START._replace(stream=False)
    body = b'{"choices":[],"usage":{"completion_tokens":7}}'
    reader = ENGINE.make_reader(start)
    reader.read_head(200, {'content-type': 'application/json'})

    assert reader.read_data(body[:9]) == []
    assert reader.read_data(body[9:]) == []
    assert reader.read_end() == [
        AttemptChunk('a1', 0, 7, body),
        AttemptEnded('a1', 7),
    ]


def test_broken_connection_differs_from_one_that_sent_nothing():
    for sent, broken in ((False, False), (True, True)):
        reader = ENGINE.make_reader(START)
        failure = CallFailure(sent, broken, 'why')
        assert reader.read_failure(failure) == [fault('why', sent=sent, crashed=broken)]
        assert reader.read_failure(failure) == []


def test_load_report_is_read():
    poll = PollEndpoint('e1', 'openai-engine', '127.0.0.1', 1, 42)

    assert ENGINE.build_poll(poll).target == '/v1/load?cursor=42'
    assert ENGINE.read_load('e1', json.dumps(LOAD).encode()) == LoadReported(
        'e1', 100, 2, 1, 0.5, 5.5, ('m',), 'active', 3, (1, 2), (), False
    )


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.binary(max_size=200))
def test_invalid_load_report_is_none(body):
    assert ENGINE.read_load('e1', body) is None


@pytest.mark.parametrize(
    'status, body, outcome',
    [
        (200, b'{"outcome":"done"}', 'done'),
        (409, b'{"outcome":"fenced"}', 'fenced'),
        (409, b'{"outcome":"busy"}', 'refused'),
        (409, b'nonsense', 'refused'),
        (404, b'', 'refused'),
        (500, b'', 'unknown'),
    ],
)
def test_outcome_of_an_order(status, body, outcome):
    order = SendOrder('o1', 'e1', '127.0.0.1', 1, 'load', 'm', 12, '')

    assert json.loads(ENGINE.build_order(order).body)['fencing'] == 12
    assert ENGINE.read_order(order, status, body).outcome == outcome
