"""Tests of translating the platform's protocols and documents."""

from __future__ import annotations

import json

import msgspec
import pytest
from fleet import (
    caller_dialect,
    endpoint_dialect,
    engine_report,
    statement_dialect,
)
from fleet.configuration_document import decode_configuration, decode_endpoint
from fleet.log_records import decode_page, encode_record

from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
from savorychute.gateway.endpoints.endpoint_statement import (
    EndpointStatement,
    StatementKind,
    UnreadableStatement,
)
from savorychute.gateway.requests.endpoint_response import (
    Disbelief,
    Naming,
    ResponseKind,
)
from savorychute.gateway.requests.outbound_attempt import OutboundAttempt
from savorychute.gateway.requests.prompt import Prompt, PromptPart
from savorychute.gateway.requests.refusal import Refusal
from savorychute.gateway.translation_error import TranslationError
from savorychute.http.client_pool import ServerAddress
from savorychute.http.http_request import HttpRequest
from savorychute.http.http_response import HttpResponse
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

RAW_REQUEST = HttpRequest(
    'POST',
    '/desk/1?x=%2F',
    (
        ('host', 'Desk.Example:80'),
        ('attempt-id', 'a1'),
        ('last-event-id', '12'),
        ('model', 'm'),
        ('token-count', '1460,80'),
        ('prefix-hash', '5c1e:800,91bd:410,e440:250'),
        ('deadline-ms', '8000'),
        ('authorization', 'Bearer secret'),
        ('urgency', '0'),
        ('tenant', 'somebody'),
        ('kv-from', '10.0.0.1:1/x'),
        ('hold', 'h'),
        ('connection', 'keep-alive, x-hop'),
        ('x-hop', '1'),
        ('x-own', 'kept'),
        ('content-length', '2'),
    ),
    b'ab',
)
ENTRY = EndpointEntry('i-1', 'pool', ServerAddress('10.0.0.9', 80), 'hall', 6, False, 1)


def make_attempt(**fields):
    values = {
        'request': caller_dialect.decode_request(RAW_REQUEST),
        'endpoint': ENTRY,
        'remaining_ms': 7_500,
        'organisation': 'hule',
        'urgency': 2,
        'last_event': '14',
        'fresh': False,
    }
    return OutboundAttempt(**(values | fields))


def test_request_is_decoded():
    request = caller_dialect.decode_request(RAW_REQUEST)

    assert (request.host, request.path) == ('desk.example', '/desk/1')
    assert (request.attempt_id, request.key) == ('a1', 'secret')
    assert (request.deadline_ms, request.last_event) == (8_000, '12')
    parts = (PromptPart('5c1e', 800), PromptPart('91bd', 410), PromptPart('e440', 250))
    assert request.prompt == Prompt('m', 1_460, 80, parts)
    assert request.prompt.shared_tokens == 1_210
    assert request.prompt.affinity == '91bd'


@pytest.mark.parametrize(
    'value, tokens',
    [('85', 85), ('85.5', 85), ('', 0), ('-4', 0), ('nan', 0), ('1e9', 0), ('x', 0)],
)
def test_hint_that_cannot_be_used_is_none(value, tokens):
    """Guards against callers whose hint of any text disturbs placement."""
    headers = (('token-count', '900,100'), ('length-hint', value))
    prompt = caller_dialect.decode_request(HttpRequest('GET', '/', headers)).prompt
    assert prompt.hinted_tokens == tokens


@pytest.mark.parametrize('name, value', [('deadline-ms', 'soon'), ('token-count', 'x')])
def test_unreadable_header_is_an_error(name, value):
    with pytest.raises(TranslationError):
        caller_dialect.decode_request(HttpRequest('GET', '/', ((name, value),)))


def test_system_headers_of_callers_do_not_reach_an_endpoint():
    """Guards against a caller that sets system headers.

    It sends an urgency, an organisation, a hold and a source of cached tokens; the
    endpoint would trust all of them.  Its key is a secret that is not passed on.
    """
    sent = endpoint_dialect.encode_attempt(make_attempt())
    headers = dict(sent.headers)

    assert (sent.method, sent.target, sent.body) == ('POST', '/desk/1?x=%2F', b'ab')
    assert headers == {
        'host': 'Desk.Example:80',
        'attempt-id': 'a1',
        'model': 'm',
        'token-count': '1460,80',
        'prefix-hash': '5c1e:800,91bd:410,e440:250',
        'x-own': 'kept',
        'deadline-ms': '7500',
        'target-instance': 'i-1',
        'tenant': 'hule',
        'urgency': '2',
        'last-event-id': '14',
    }


def test_public_request_has_no_organisation():
    attempt = make_attempt(organisation='', urgency=None, last_event='')
    headers = dict(endpoint_dialect.encode_attempt(attempt).headers)

    assert not {'tenant', 'urgency', 'last-event-id'} & set(headers)


@pytest.mark.parametrize(
    'status, headers, kind',
    [
        (200, {'attempt-id': 'a1', 'server-signature': 's'}, ResponseKind.SUCCESS),
        (200, {'attempt-id': 'a1'}, ResponseKind.FOREIGN),
        (200, {'attempt-id': 'a2', 'server-signature': 's'}, ResponseKind.FOREIGN),
        (500, {'attempt-id': 'a2', 'server-signature': 's'}, ResponseKind.FOREIGN),
        (
            200,
            {'attempt-id': 'a1', 'server-signature': 's', 'content-encoding': 'gzip'},
            ResponseKind.FOREIGN,
        ),
        (500, {'attempt-id': 'a1', 'server-signature': 's'}, ResponseKind.FAILURE),
        (503, {'attempt-id': 'a1', 'not-executed': '1'}, ResponseKind.NOT_RUN),
        (429, {'not-executed': '1'}, ResponseKind.NOT_RUN),
        (503, {'attempt-id': 'a1'}, ResponseKind.FAILURE),
        (421, {'instance-id': 'i-2'}, ResponseKind.OTHER_ENDPOINT),
        (503, {'attempt-id': 'a2', 'not-executed': '1'}, ResponseKind.FOREIGN),
        (429, {'attempt-id': 'a2', 'not-executed': '1'}, ResponseKind.FOREIGN),
        (421, {'attempt-id': 'a2'}, ResponseKind.FOREIGN),
        (421, {'attempt-id': 'a1'}, ResponseKind.OTHER_ENDPOINT),
    ],
)
def test_response_is_classified_by_its_proof(status, headers, kind):
    response = endpoint_dialect.decode_response(status, headers, make_attempt())

    assert response.kind is kind


@pytest.mark.parametrize(
    'headers, naming, named_id',
    [
        ({'attempt-id': 'a1'}, Naming.OWN, 'a1'),
        ({'attempt-id': 'a2', 'not-executed': '1'}, Naming.OTHER, 'a2'),
        ({'attempt-id': ''}, Naming.OTHER, ''),
        ({'server-signature': 's', 'not-executed': '1'}, Naming.NONE, ''),
        ({'attempt-id': 'b' * 30_000}, Naming.OTHER, 'b' * 64),
        ({'attempt-id': 'a1' + 'b' * 30_000}, Naming.OTHER, 'a1' + 'b' * 62),
    ],
)
@pytest.mark.parametrize('status', [200, 421, 500, 503])
def test_response_tells_which_request_it_names(status, headers, naming, named_id):
    response = endpoint_dialect.decode_response(status, headers, make_attempt())

    assert (response.naming, response.named_id) == (naming, named_id)


@pytest.mark.parametrize(
    'status, headers, disbelief',
    [
        (200, {'attempt-id': 'a2', 'server-signature': 's'}, Disbelief.OTHER_REQUEST),
        (200, {'attempt-id': 'a2'}, Disbelief.OTHER_REQUEST),
        (421, {'attempt-id': 'a2'}, Disbelief.OTHER_REQUEST),
        (503, {'attempt-id': 'a2', 'not-executed': '1'}, Disbelief.OTHER_REQUEST),
        (200, {'attempt-id': 'a1'}, Disbelief.NO_PROOF),
        (200, {'attempt-id': 'a1', 'content-encoding': 'gzip'}, Disbelief.NO_PROOF),
        (
            200,
            {'attempt-id': 'a1', 'server-signature': 's', 'content-encoding': 'gzip'},
            Disbelief.ENCODED,
        ),
        (200, {'attempt-id': 'a1', 'server-signature': 's'}, None),
        (500, {'attempt-id': 'a1'}, None),
        (503, {'attempt-id': 'a1', 'not-executed': '1'}, None),
        (421, {'attempt-id': 'a1'}, None),
    ],
)
def test_reason_why_a_response_is_not_believed(status, headers, disbelief):
    headers = headers | {'content-type': 'text/event-stream'}
    response = endpoint_dialect.decode_response(status, headers, make_attempt())

    assert response.disbelief is disbelief
    assert (response.kind is ResponseKind.FOREIGN) == (disbelief is not None)
    assert response.is_stream == (status == 200 and disbelief is None)


def test_response_keeps_its_end_to_end_headers():
    headers = {
        'attempt-id': 'a1',
        'server-signature': 's',
        'content-type': 'text/event-stream',
        'connection': 'close, x-hop',
        'x-hop': '1',
        'transfer-encoding': 'chunked',
    }
    response = endpoint_dialect.decode_response(200, headers, make_attempt())

    assert response.is_stream
    assert dict(response.headers) == {
        'attempt-id': 'a1',
        'server-signature': 's',
        'content-type': 'text/event-stream',
    }


def test_refusal_has_retry_after_and_no_proof():
    refusal = Refusal(ResultCode.NO_ENDPOINT, Ran.NOT_RUN, 'no-endpoint', 300)
    response = caller_dialect.encode_refusal(refusal)

    assert response.status == 503
    assert response.headers['retry-after'] == '0.3'
    assert 'server-signature' not in response.headers
    assert json.loads(response.body)['error']['ran'] == 'not-run'


@pytest.mark.parametrize(
    ('text', 'limit_per_s'), [('1', 1.0), ('0.25', 0.25), (' 12 ', 12.0), ('0', 0.0)]
)
def test_limit_of_an_endpoint_is_decoded(text, limit_per_s):
    statement = statement_dialect.decode_statement(200, {'server-limit': text})

    assert statement == EndpointStatement(limit_per_s)


@pytest.mark.parametrize('text', ['', 'two', '-1', 'nan', 'inf', '1e400', '1, 2'])
def test_unreadable_limit_states_nothing(text):
    """Guards against failing a caller's request because of an unreadable limit."""
    statement = statement_dialect.decode_statement(200, {'server-limit': text})

    assert statement.limit_per_s is None
    unreadable = UnreadableStatement(StatementKind.LIMIT, text)
    assert statement.unreadable == (unreadable,)


def test_response_without_statements_states_nothing():
    assert statement_dialect.decode_statement(503, {}) == EndpointStatement()


@pytest.mark.parametrize('status', [200, 429, 500, 503])
def test_any_response_can_state_leaving(status):
    statement = statement_dialect.decode_statement(status, {'server-leaving': '1'})

    assert statement == EndpointStatement(leaving=True)


@pytest.mark.parametrize('text', ['', 'yes', '1, 1', '2'])
def test_unreadable_leaving_states_nothing(text):
    statement = statement_dialect.decode_statement(200, {'server-leaving': text})

    assert not statement.leaving
    unreadable = UnreadableStatement(StatementKind.LEAVING, text)
    assert statement.unreadable == (unreadable,)


@pytest.mark.parametrize(
    ('text', 'backoff_ms'),
    [('3', 3_000), ('0.25', 250), ('0', 0), ('1e300', 3_600_000)],
)
def test_requested_backoff_is_decoded(text, backoff_ms):
    statement = statement_dialect.decode_statement(503, {'retry-after': text})

    assert statement == EndpointStatement(backoff_ms=backoff_ms)


def test_only_status_503_requests_backoff():
    statement = statement_dialect.decode_statement(429, {'retry-after': '3'})

    assert statement == EndpointStatement()


@pytest.mark.parametrize('text', ['', '-5', 'inf', '1e400', 'Thu, 03 Dec 2026'])
def test_unreadable_retry_after_is_ignored(text):
    """Guards against failing a caller's request because of an unreadable header."""
    headers = {'retry-after': text, 'not-executed': '1'}
    response = endpoint_dialect.decode_response(503, headers, make_attempt())
    statement = statement_dialect.decode_statement(503, headers)

    assert response.retry_after_ms == 0
    unreadable = UnreadableStatement(StatementKind.REST, text)
    assert statement == EndpointStatement(unreadable=(unreadable,))


def test_load_report_of_an_engine_is_decoded():
    body = msgspec.json.encode(
        {
            'waiting': 3,
            'running': 5,
            'runs': [['a', 800, 2, 0], ['b', 900, 1, 1]],
            'nextToken': 12_569,
            'state': 'ready',
            'born': 7,
        }
    )
    load = engine_report.decode_report(HttpResponse(200, {}, body))

    assert load == (3, 3, 2, 12_569, False, 7, ((0, 2), (1, 1)), None, None)
    assert engine_report.decode_report(HttpResponse(503, {}, b'')) is None
    assert (
        engine_report.decode_report(HttpResponse(200, {}, b'{"waiting":"x"}')) is None
    )


CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'hostname': 'Desk.example',
            'pathPrefix': '/a/',
            'routeType': 'streaming',
            'timeoutMs': 12_000,
            'targetLatencyMs': 2_500,
            'priority': 2,
            'trafficSplit': [
                {'service': 'x', 'weight': 90},
                {'service': 'y', 'weight': 10},
            ],
            'maxAttempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'gapTargetMs': 1_000,
            'somethingNew': 1,
        },
        {
            'name': 'r-2',
            'hostname': 'desk.example',
            'pathPrefix': '/b/',
            'routeType': 'non_idempotent',
            'timeoutMs': 1_500,
            'targetLatencyMs': 300,
            'service': 'x',
        },
    ],
    'services': [
        {
            'name': 'x',
            'healthPath': '/healthz',
            'maxConns': 370,
            'engine': {'slots': 64},
        },
        {'name': 'y', 'healthPath': '/healthz', 'maxConns': 110},
    ],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 4_194_304,
        'headerTimeoutMs': 3_000,
        'idleTimeoutMs': 15_000,
    },
    'tenants': [{'name': 'hule', 'apiKeys': ['k1', 'k2'], 'priority': 1}],
}


@pytest.mark.parametrize(
    ('state', 'leaving'), [('ready', False), ('draining', True), ('moving', None)]
)
def test_report_with_an_unknown_state_is_ignored(state, leaving):
    """Guards against excluding an engine for ever because of an unknown state."""
    body = json.dumps({'waiting': 0, 'running': 0, 'runs': [], 'state': state}).encode()
    load = engine_report.decode_report(HttpResponse(200, {}, body))

    assert (load.leaving if load is not None else None) is leaving


def test_configuration_is_decoded():
    value = msgspec.json.encode(CONFIGURATION)
    deployment = decode_configuration('config', value)

    stream, plain = deployment.routes
    assert deployment.version == 7
    assert stream.kind is RequestKind.STREAM
    assert stream.host == 'desk.example'
    assert [tuple(share) for share in stream.shares] == [('x', 90), ('y', 10)]
    assert stream.retryable
    assert plain.kind is RequestKind.NON_IDEMPOTENT
    assert [share.service for share in plain.shares] == ['x']
    assert [service.runs_models for service in deployment.services] == [True, False]
    assert deployment.organisations == (('hule', ('k1', 'k2'), 1),)
    assert deployment.limits == (16_384, 4_194_304, 3_000, 15_000)


def test_absent_list_of_organisations_is_not_an_empty_one():
    """Guards against routes that are open because nobody is left who may use them."""
    empty = msgspec.json.encode(CONFIGURATION | {'tenants': []})
    fields = {name: CONFIGURATION[name] for name in CONFIGURATION if name != 'tenants'}
    absent = msgspec.json.encode(fields)

    assert decode_configuration('config', empty).organisations == ()
    assert decode_configuration('config', absent).organisations is None


def test_list_of_organisations_that_is_null_is_rejected():
    """Guards against a configuration of which it is open whether keys are needed."""
    value = msgspec.json.encode(CONFIGURATION | {'tenants': None})

    with pytest.raises(TranslationError):
        decode_configuration('config', value)


def test_properties_of_engines_are_decoded():
    """Guards against streams that are never moved, as moves seem not to be offered."""
    engine = {'stride': 5, 'kvTokens': 600_000, 'kvBytes': 327_680, 'linkMbps': 1e6}
    engine |= {'moves': True, 'backups': True, 'handleS': 2.5, 'most': 12}
    services = [{'name': 'x', 'engine': engine}, {'name': 'y'}]
    value = msgspec.json.encode(CONFIGURATION | {'services': services})
    model_service, plain_service = decode_configuration('config', value).services

    assert model_service.engine == (5.0, 600_000, 327_680.0, 1e6, 2_500, True, True)
    assert plain_service.engine is None


def test_other_records_of_the_operator_are_ignored():
    assert decode_configuration('notes', b'{}') is None


@pytest.mark.parametrize(
    'change', [{'version': 'x'}, {'limits': {}}, {'routes': [{'name': 'r'}]}]
)
def test_unreadable_configuration_is_an_error(change):
    with pytest.raises(TranslationError):
        decode_configuration('config', msgspec.json.encode(CONFIGURATION | change))


def test_entry_of_an_endpoint_is_decoded():
    value = msgspec.json.encode(
        {
            'service': 'x',
            'address': '10.128.0.9:8080',
            'zone': 'hall',
            'slots': 64,
            'state': 'draining',
            'coldLeftMs': 250,
            'sequence': 4,
        }
    )
    entry = decode_endpoint('i-1', value)

    assert entry == EndpointEntry(
        'i-1', 'x', ServerAddress('10.128.0.9', 8080), 'hall', 64, True, 4
    )


@pytest.mark.parametrize(
    'stated, software_version',
    [
        ({}, ''),
        ({'version': None}, ''),
        ({'version': 'v1.1'}, 'v1.1'),
        ({'version': 2}, 'json:2'),
        ({'version': 'x' * 65}, 'blake2b:c085721fdfc5c936'),
    ],
)
def test_software_version_of_an_endpoint_is_decoded(stated, software_version):
    """Guards against versions that are taken for each other, and against long ones."""
    entry = {'service': 'x', 'address': '10.0.0.9:80', 'zone': 'hall', 'slots': 6}
    value = msgspec.json.encode(entry | {'state': 'ready', 'sequence': 1} | stated)
    assert decode_endpoint('i-1', value).software_version == software_version


def test_records_round_trip():
    first, second = encode_record('a', b'1'), encode_record('b', None)
    head = (12).to_bytes(8, 'big') + (3).to_bytes(8, 'big')
    page = decode_page(head + first + second, 10)

    assert (page.end, page.first) == (12, 3)
    assert [tuple(record) for record in page.records] == [
        (10, 'a', b'1'),
        (11, 'b', None),
    ]


@pytest.mark.parametrize('data', [b'', b'\0' * 15, b'\0' * 16 + b'\0\0\0\x09\x01a'])
def test_bytes_without_a_record_are_an_error(data):
    with pytest.raises(TranslationError):
        decode_page(data, 0)
