"""Tests for the platform's log and list over HTTP."""

from __future__ import annotations

import json

import pytest

from savorychute.actions import AppendRecord, ReadRecords
from savorychute.http.call_failure import CallFailure
from savorychute.http.http_response import HttpResponse
from savorychute.inputs import AppendFinished, RecordsRead
from savorychute.inputs.log_record import LogRecord
from savorychute.member_address import MemberAddress
from savorychute.platforms import LISTINGS, LOGS

LOG = LOGS.get('http')
LISTING = LISTINGS.get('http')
APPEND = AppendRecord('p1', 'audit', b'\x00record')
READ = ReadRecords('audit', 5, 10)
MEMBER = MemberAddress('i1', 7, 'kerala', 'kochi-hall', '127.0.0.1', 1, 2)


def respond(status, body=b''):
    return HttpResponse(status, {}, body)


@pytest.mark.parametrize(
    'response, outcome, offset',
    [
        (respond(201, b'{"offset": 3}'), 'appended', 3),
        (respond(201, b'nonsense'), 'unknown', -1),
        (respond(503), 'refused', -1),
        (respond(429), 'refused', -1),
        (respond(400), 'refused', -1),
        (respond(500), 'unknown', -1),
        (respond(502), 'unknown', -1),
    ],
)
def test_append_counts_as_refused_only_if_it_cannot_be_in_the_log(
    response, outcome, offset
):
    expected = AppendFinished('p1', 'audit', outcome, offset)

    assert LOG.finish_append(APPEND, response) == expected


@pytest.mark.parametrize('sent, outcome', [(True, 'unknown'), (False, 'refused')])
def test_lost_response_is_unknown_only_if_the_append_was_sent(sent, outcome):
    """The log stores a record, but its response is lost.

    If the append counted as refused, the record would be appended again; if it
    counted as appended, the record would not be looked up.
    """
    failure = CallFailure(sent, sent, 'why')

    assert LOG.fail_append(APPEND, failure).outcome == outcome


def test_requests_name_stream_and_range():
    assert LOG.build_append(APPEND).target == '/streams/audit/records'
    assert LOG.build_append(APPEND).body == b'\x00record'
    assert LOG.build_read(READ).target == '/streams/audit/records?from=5&max=10'
    odd = READ._replace(stream='a/b')
    assert LOG.build_read(odd).target.startswith('/streams/a%2Fb/records')


def test_records_are_read():
    document = {
        'first_offset': 2,
        'end_offset': 7,
        'records': [{'offset': 5, 'payload_base64': 'AHJlY29yZA=='}],
    }
    response = respond(200, json.dumps(document).encode())

    assert LOG.finish_read(READ, response) == RecordsRead(
        'audit', True, (LogRecord(5, b'\x00record'),), 2, 7
    )


@pytest.mark.parametrize(
    'response',
    [
        respond(503),
        respond(200, b'nonsense'),
        respond(200, b'{"first_offset":0,"end_offset":1,"records":[{"offset":0}]}'),
        respond(
            200,
            b'{"first_offset":0,"end_offset":1,"records":'
            b'[{"offset":0,"payload_base64":"a"}]}',
        ),
    ],
)
def test_malformed_records_are_not_ok(response):
    assert LOG.finish_read(READ, response) == RecordsRead('audit', ok=False)


def test_list_is_read():
    document = {'live': [MEMBER._asdict()], 'leaving': ['engine-3']}
    listing = LISTING.read_listing(respond(200, json.dumps(document).encode()))

    assert (listing.ok, listing.live) == (True, (MEMBER,))
    assert listing.leaving == frozenset({'engine-3'})


@pytest.mark.parametrize(
    'response', [respond(500), respond(200, b'{"live": [{}], "leaving": []}')]
)
def test_malformed_list_is_not_ok(response):
    assert not LISTING.read_listing(response).ok
