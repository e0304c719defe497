"""Tests of the paths that callers use."""

from __future__ import annotations

import asyncio
import json

from daemon_fakes import TOKEN, SmallServer, call, run_passing, serve

CHAT = {'model': 'm', 'messages': [{'role': 'user', 'content': 'why no water?'}]}
HEADERS = {'authorization': f'Bearer {TOKEN}', 'x-request-class': 'diagnosis'}
EVENTS = (
    b'id: 0\ndata: {"choices":[{"index":0,"delta":{"content":"air"}}],"token_count":1}\n\n',
    b'id: 1\ndata: {"choices":[{"index":0,"delta":{"content":" \\"lock"}}],"token_count":2}\n\n',
)


def answer_events(exchange):
    exchange.start(200, [('content-type', 'text/event-stream'), ('x-stream-id', 's')])
    for event in EVENTS:
        exchange.send(event)
    exchange.send(b'data: [DONE]\n\n')
    exchange.finish()


def answer_document(exchange):
    body = b'{"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":2}}'
    exchange.respond(200, [('content-type', 'application/json')], body)


def run_one(answer, method, target, headers, body=b''):
    """Send one request through a daemon; return its answer and the parties."""

    async def main():
        engine = SmallServer(answer)
        async with (
            serve(engine) as address,
            run_passing(address) as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request(method, target, headers, body)
            return await caller.read_answer(), instance, engine

    return asyncio.run(main())


def test_streamed_answer_passes_events_and_ends_with_done():
    body = json.dumps({**CHAT, 'stream': True, 'temperature': 0.5}).encode()

    answer, instance, engine = run_one(
        answer_events, 'POST', '/v1/chat/completions', HEADERS, body
    )

    assert answer.status == 200
    assert answer.whole
    assert answer.body == b''.join(EVENTS) + b'data: [DONE]\n\n'
    assert answer.headers['x-continuation-handle'] == 'handle'
    assert answer.headers['x-endpoint'] == 'engine'
    assert answer.headers['x-attempt-id'] == f'a-{answer.headers["x-request-id"]}'
    assert answer.headers['x-ran'] == 'ran'
    sent = engine.exchanges[0].request
    assert json.loads(sent.body) == {
        **CHAT,
        'stream': True,
        'temperature': 0.5,
        'priority': 3,
    }
    assert sent.header('x-attempt-id') == answer.headers['x-attempt-id']
    assert sent.header('x-keep-on-close') == '1'
    request = next(iter(instance.requests.values()))
    assert request.class_name == 'diagnosis'
    assert request.prompt_tokens == len('why no water?') // 4


def test_document_passes_whole():
    answer, _, _ = run_one(
        answer_document,
        'POST',
        '/v1/chat/completions',
        HEADERS,
        json.dumps(CHAT).encode(),
    )

    assert (answer.status, answer.whole) == (200, True)
    assert json.loads(answer.body)['usage']['completion_tokens'] == 2


def test_plain_service_gets_method_path_and_query():
    answer, _, engine = run_one(
        lambda exchange: exchange.respond(418, [('content-type', 'x/y')], b'pot'),
        'PUT',
        '/v1/services/desk/visits/7?full=1',
        HEADERS,
        b'{"visit": 7}',
    )

    assert (answer.status, answer.body) == (418, b'pot')
    sent = engine.exchanges[0].request
    assert (sent.method, sent.target) == ('PUT', '/visits/7?full=1')
    assert sent.body == b'{"visit": 7}'


def test_headers_in_latin_1_pass_both_ways():
    """File name with an accent.

    A service names a file with an accent.  Written as ASCII the head could not
    be sent, and the caller would wait for an answer that never came.
    """
    name = 'attachment; filename="révision"'
    answer, _, engine = run_one(
        lambda exchange: exchange.respond(200, [('content-disposition', name)], b'x'),
        'POST',
        '/v1/services/desk/files',
        {**HEADERS, 'content-type': 'text/é'},
        b'x',
    )

    assert answer.headers['content-disposition'] == name
    assert engine.exchanges[0].request.header('content-type') == 'text/é'


def test_discovery_names_the_addresses():
    answer, _, _ = run_one(answer_events, 'GET', '/v1/instances', HEADERS)

    document = json.loads(answer.body)
    assert document['lifetime_ms'] == 1_000
    assert document['instances'][0]['failure_domain'] == 'kochi-hall'


def test_key_is_issued_only_for_a_known_token():
    good, _, _ = run_one(answer_events, 'POST', '/v1/keys', HEADERS)
    bad, _, _ = run_one(answer_events, 'POST', '/v1/keys', {'authorization': 'Bearer'})

    assert json.loads(good.body)['key'].startswith('key-')
    assert (bad.status, bad.headers['x-result-code']) == (401, '1004')


def test_health_and_readiness():
    health, _, _ = run_one(answer_events, 'GET', '/healthz', {})
    ready, _, _ = run_one(answer_events, 'GET', '/readyz', {})

    assert (health.status, ready.status) == (200, 200)
