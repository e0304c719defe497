"""Tests of the translation of copies of a run's memory and of continuations."""

from __future__ import annotations

import json

import pytest
from fleet import endpoint_dialect, engine_report, move_dialect
from test_dialects import make_attempt

from savorychute.gateway.moves.continuation import Continuation
from savorychute.gateway.moves.move_call import CopyOrder, CopyOutcome, CopyResult
from savorychute.gateway.requests.endpoint_response import ResponseKind
from savorychute.http.client_pool import ServerAddress
from savorychute.http.http_response import HttpResponse

SOURCE, TARGET = ServerAddress('10.0.0.9', 80), ServerAddress('10.0.0.7', 81)


def decode_report(**fields):
    text = ','.join(f'"{name}":{value}' for name, value in fields.items())
    return engine_report.decode_report(HttpResponse(200, {}, f'{{{text}}}'.encode()))


@pytest.mark.parametrize('is_last', [False, True])
def test_copy_is_encoded(is_last):
    """Guards against a copy of another run, or to another address."""
    request = move_dialect.encode_copy(CopyOrder('a1', TARGET, is_last))

    assert (request.method, request.target) == ('POST', '/-/kv-move')
    assert json.loads(request.body) == {
        'id': 'a1',
        'target': '10.0.0.7:81',
        'last': is_last,
    }


@pytest.mark.parametrize(
    ('status', 'body', 'result'),
    [
        (200, '{"handle":"h-1","created":4}', (CopyOutcome.COPIED, 'h-1', 4)),
        (200, '{"handle":"h-1","created":"x"}', (CopyOutcome.COPIED, 'h-1', 0)),
        (200, '{"handle":"h-1","created":1e999}', (CopyOutcome.COPIED, 'h-1', 0)),
        (200, '{"handle":"a b"}', (CopyOutcome.UNREADABLE, '', 0)),
        (200, '{"created":4}', (CopyOutcome.UNREADABLE, '', 4)),
        (200, 'no JSON', (CopyOutcome.UNREADABLE, '', 0)),
        (404, '', (CopyOutcome.UNKNOWN_RUN, '', 0)),
        (409, '{}', (CopyOutcome.BUSY, '', 0)),
        (503, '', (CopyOutcome.REFUSED, '', 0)),
        (503, '{"handle":"h-2"}', (CopyOutcome.REFUSED, 'h-2', 0)),
        (500, '{"handle":"h-2"}', (CopyOutcome.UNREADABLE, '', 0)),
    ],
)
def test_response_to_a_copy_is_decoded(status, body, result):
    """Guards against a handle that is lost, or that would break a header or a path."""
    response = HttpResponse(status, {}, body.encode())

    assert move_dialect.decode_copy(response) == CopyResult(*result)


def test_release_names_the_handle():
    """Guards against copies that hold memory because they are not freed."""
    request = move_dialect.encode_release('h-1')

    assert (request.method, request.target) == ('DELETE', '/-/kv-handle/h-1')


def test_continuation_names_source_handle_and_last_event():
    """Guards against a continuation that the target cannot attribute to its copy."""
    attempt = make_attempt(continuation=Continuation(SOURCE, 'h-1'))
    headers = dict(endpoint_dialect.encode_attempt(attempt).headers)

    assert headers['kv-from'] == '10.0.0.9:80/h-1'
    assert headers['last-event-id'] == '14'


@pytest.mark.parametrize('handle', ['h-1', None])
def test_refused_attempt_did_not_run_only_if_that_is_stated(handle):
    """Guards against a run that goes on twice after a 503 which states nothing."""
    continuation = Continuation(SOURCE, handle) if handle else None
    attempt = make_attempt(continuation=continuation)
    refused = endpoint_dialect.decode_response(503, {'not-executed': '1'}, attempt)
    failed = endpoint_dialect.decode_response(503, {}, attempt)

    assert refused.kind is ResponseKind.NOT_RUN
    assert failed.kind is ResponseKind.FAILURE


@pytest.mark.parametrize(
    ('text', 'leaves_ms'),
    [
        ('2300', 2_300),
        ('2300.7', 2_300),
        ('0', 0),
        ('-1', None),
        ('1e12', None),
        ('1e999', None),
        ('"soon"', None),
        ('true', None),
        ('null', None),
        ('[2]', None),
    ],
)
def test_time_until_an_engine_ends_is_read_if_it_is_usable(text, leaves_ms):
    """Guards against a report that is lost for a value that nothing depends on."""
    load = decode_report(waiting=3, state='"draining"', leaves_ms=text)

    assert (load.waiting, load.leaving, load.leaves_ms) == (3, True, leaves_ms)


@pytest.mark.parametrize(
    ('used', 'total', 'free'),
    [
        ('400', '1000', 600),
        ('1200', '1000', 0),
        ('-4', '1000', None),
        ('4', '{}', None),
    ],
)
def test_free_memory_is_read_if_it_is_usable(used, total, free):
    """Guards against copies to an engine without room."""
    assert decode_report(kvUsed=used, kvTotal=total).free_tokens == free
