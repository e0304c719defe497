"""Tests of the HTTP paths that callers use."""

from __future__ import annotations

import asyncio
import json

from daemon_fakes import TOKEN, FakeServer, call, run_forwarding, serve

CHAT = {'model': 'm', 'messages': [{'role': 'user', 'content': 'why no water?'}]}
HEADERS = {'authorization': f'Bearer {TOKEN}', 'x-request-class': 'diagnosis'}
EVENTS = (
    b'id: 0\ndata: {"choices":[{"index":0,"delta":{"content":"air"}}],"token_count":1}\n\n',
    b'id: 1\ndata: {"choices":[{"index":0,"delta":{"content":" \\"lock"}}],"token_count":2}\n\n',
)


def respond_events(exchange):
    exchange.start(200, [('content-type', 'text/event-stream'), ('x-stream-id', 's')])
    for event in EVENTS:
        exchange.send(event)
    exchange.send(b'data: [DONE]\n\n')
    exchange.finish()


def respond_document(exchange):
    body = b'{"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":2}}'
    exchange.respond(200, [('content-type', 'application/json')], body)


def run_one(respond, method, target, headers, body=b''):
    """Send one request through a daemon; return response, instance and engine."""

    async def main():
        engine = FakeServer(respond)
        async with (
            serve(engine) as address,
            run_forwarding(address) as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request(method, target, headers, body)
            return await caller.read_response(), instance, engine

    return asyncio.run(main())


def test_streamed_response_forwards_events_and_ends_with_done():
    body = json.dumps({**CHAT, 'stream': True, 'temperature': 0.5}).encode()

    response, instance, engine = run_one(
        respond_events, 'POST', '/v1/chat/completions', HEADERS, body
    )

    assert response.status == 200
    assert response.complete
    assert response.body == b''.join(EVENTS) + b'data: [DONE]\n\n'
    assert response.headers['x-continuation-handle'] == 'handle'
    assert response.headers['x-endpoint'] == 'engine'
    assert response.headers['x-attempt-id'] == f'a-{response.headers["x-request-id"]}'
    assert response.headers['x-ran'] == 'ran'
    sent = engine.exchanges[0].request
    assert json.loads(sent.body) == {
        **CHAT,
        'stream': True,
        'temperature': 0.5,
        'priority': 3,
    }
    assert sent.header('x-attempt-id') == response.headers['x-attempt-id']
    assert sent.header('x-keep-on-close') == '1'
    request = next(iter(instance.requests.values()))
    assert request.class_name == 'diagnosis'
    assert request.prompt_tokens == len('why no water?') // 4


def test_document_is_forwarded_completely():
    response, _, _ = run_one(
        respond_document,
        'POST',
        '/v1/chat/completions',
        HEADERS,
        json.dumps(CHAT).encode(),
    )

    assert (response.status, response.complete) == (200, True)
    assert json.loads(response.body)['usage']['completion_tokens'] == 2


def test_plain_service_gets_method_path_and_query():
    response, _, engine = run_one(
        lambda exchange: exchange.respond(418, [('content-type', 'x/y')], b'pot'),
        'PUT',
        '/v1/services/desk/visits/7?full=1',
        HEADERS,
        b'{"visit": 7}',
    )

    assert (response.status, response.body) == (418, b'pot')
    sent = engine.exchanges[0].request
    assert (sent.method, sent.target) == ('PUT', '/visits/7?full=1')
    assert sent.body == b'{"visit": 7}'


def test_headers_in_latin_1_are_forwarded_both_ways():
    """Guard against header values that ASCII cannot encode.

    A service sends a file name with an accent.  Encoded as ASCII, the head could not
    be sent, and the caller would wait for a response that never arrives.
    """
    name = 'attachment; filename="révision"'
    response, _, engine = run_one(
        lambda exchange: exchange.respond(200, [('content-disposition', name)], b'x'),
        'POST',
        '/v1/services/desk/files',
        {**HEADERS, 'content-type': 'text/é'},
        b'x',
    )

    assert response.headers['content-disposition'] == name
    assert engine.exchanges[0].request.header('content-type') == 'text/é'


def test_discovery_returns_the_addresses():
    response, _, _ = run_one(respond_events, 'GET', '/v1/instances', HEADERS)

    document = json.loads(response.body)
    assert document['lifetime_ms'] == 1_000
    assert document['instances'][0]['failure_domain'] == 'kochi-hall'


def test_key_is_issued_only_for_a_known_token():
    good, _, _ = run_one(respond_events, 'POST', '/v1/keys', HEADERS)
    bad, _, _ = run_one(respond_events, 'POST', '/v1/keys', {'authorization': 'Bearer'})

    assert json.loads(good.body)['key'].startswith('key-')
    assert (bad.status, bad.headers['x-result-code']) == (401, '1004')


def test_ready_instance_reports_health_and_readiness():
    health, _, _ = run_one(respond_events, 'GET', '/healthz', {})
    ready, _, _ = run_one(respond_events, 'GET', '/readyz', {})

    assert (health.status, ready.status) == (200, 200)
