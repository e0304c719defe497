"""Tests of the client library against scripted instances."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import pytest

from savorychute.client import (
    CallError,
    ChatCall,
    ClientSettings,
    ServiceCall,
    open_client,
)
from savorychute.clock import ManualClock, SystemClock
from savorychute.http.client_pool import ServerAddress
from savorychute.http.error_answer import encode_error, error_headers
from savorychute.http.http_limits import HttpLimits
from savorychute.http.http_server import HttpServer, listen
from savorychute.ran import Ran
from savorychute.requests.continuation_handle import ContinuationHandle, decode_handle
from savorychute.result_code import ResultCode

CHAT = ChatCall('m', ({'role': 'user', 'content': 'why?'},), 'diagnosis')
VISIT = ServiceCall('desk', 'POST', '/visits', 'visit-log', b'{}', idempotent=False)
HANDLE = ContinuationHandle('engine', 's1', 0).encode()
TEXTS = ('air', ' lock', ' in', ' the', ' pump')


class Instance:
    """Answers with the next function of its script; the last one repeats."""

    def __init__(self, name, script):
        self.name = name
        self.script = list(script)
        self.requests = []
        self.discoveries = 0
        self.keys = 0
        self.peers = []
        self.lifetime_ms = 60_000
        self.address = None

    def take(self, exchange):
        """Answer one request."""
        target = exchange.request.target
        if target == '/v1/instances':
            self.discoveries += 1
            document = {
                'instances': [peer.address._asdict() for peer in self.peers],
                'lifetime_ms': self.lifetime_ms,
            }
            exchange.respond(200, [], json.dumps(document).encode())
        elif target == '/v1/keys':
            self.keys += 1
            key = f'{self.name}-{self.keys}'
            exchange.respond(200, [], json.dumps({'key': key}).encode())
        else:
            self.requests.append(exchange.request)
            act = self.script.pop(0) if len(self.script) > 1 else self.script[0]
            act(exchange)


def answer(exchange):
    exchange.respond(200, [('x-result-code', '0'), ('x-ran', 'ran')], b'answer')


def refuse(code, ran=Ran.NOT_RUN, retry_after_ms=0):
    def act(exchange):
        headers = error_headers(code, ran, retry_after_ms)
        exchange.respond(code.status, headers, encode_error(code, ran, 'why'))

    return act


def cut(exchange):
    exchange.start(200, [('x-result-code', '0'), ('content-length', '99')])
    exchange.send(b'half')
    asyncio.get_running_loop().call_later(0.01, exchange.abort)


def drop(exchange):
    exchange.abort()


def redirect_to(instance):
    def act(exchange):
        host, port = instance.address
        headers = error_headers(ResultCode.WRONG_INSTANCE, Ran.NOT_RUN)
        headers.append(('location', f'http://{host}:{port}{exchange.request.target}'))
        exchange.respond(307, headers, b'{}')

    return act


def stream(start, stop, end='done', handle=HANDLE):
    """Send the texts from *start* to *stop*, then end in some way."""

    def act(exchange):
        headers = [('x-result-code', '0'), ('content-type', 'text/event-stream')]
        if handle:
            headers.append(('x-continuation-handle', handle))
        exchange.start(200, headers)
        for offset in range(start, stop):
            chunk = {
                'choices': [{'index': 0, 'delta': {'content': TEXTS[offset]}}],
                'token_count': 1,
            }
            data = json.dumps(chunk).encode()
            exchange.send(b'id: %d\ndata: %b\n\n' % (offset, data))
        if end == 'done':
            exchange.send(b'data: [DONE]\n\n')
            exchange.finish()
        elif end == 'error':
            data = encode_error(ResultCode.ENDPOINT_FAILED, Ran.UNKNOWN, 'crashed')
            exchange.send(b'event: error\ndata: %b\n\n' % data)
            exchange.finish()
        elif end == 'silent-end':
            exchange.finish()
        else:
            asyncio.get_running_loop().call_later(0.01, exchange.abort)

    return act


@asynccontextmanager
async def run_instances(instances):
    async with AsyncExitStack() as stack:
        for instance in instances:
            instance.peers = list(instances)
            server = HttpServer(HttpLimits(), SystemClock(), instance.take)
            await stack.enter_async_context(listen(server, '127.0.0.1', 0))
            instance.address = ServerAddress('127.0.0.1', server.port)
        yield


def run(act, *instances, clock=None, **changes):
    """Run *act* with a client whose one seed is the first instance."""

    async def main():
        async with run_instances(instances):
            seeds = (instances[0].address,)
            settings = ClientSettings(seeds, 'secret', max_backoff_ms=20)
            settings = settings._replace(**changes)
            async with open_client(settings, clock=clock, rng=Random(1)) as client:
                return await act(client)

    return asyncio.run(main())


async def read(client, call=CHAT):
    return ''.join([tokens.text async for tokens in client.stream(call)])


def test_discovery_is_kept_for_its_lifetime():
    instance = Instance('i1', [answer])

    async def act(client):
        for _ in range(3):
            await client.complete(CHAT)

    run(act, instance)

    assert (instance.discoveries, len(instance.requests)) == (1, 3)
    assert instance.requests[0].header('authorization') == 'Bearer secret'
    assert instance.requests[0].header('x-request-class') == 'diagnosis'


def test_discovery_that_has_run_out_is_asked_for_again():
    instance = Instance('i1', [answer])
    instance.lifetime_ms = 0

    async def act(client):
        await client.complete(CHAT)
        await client.complete(CHAT)

    run(act, instance)

    assert instance.discoveries == 2


def test_addresses_are_asked_for_again_when_one_fails():
    """All instances replaced.

    Within one lifetime of the answer every instance that it names is replaced,
    one after the other.  A client that kept the answer would be left with
    addresses at which nobody is, and no one to ask for new ones.
    """
    first, second = Instance('i1', [answer]), Instance('i2', [answer])
    third = Instance('i3', [answer])
    clock = ManualClock()

    async def act(client):
        first.peers = second.peers = [first, second]
        await client.complete(CHAT)
        first.script = [drop]
        first.peers = second.peers = [second, third]
        clock.advance_to(2_000)
        await client.complete(CHAT)
        clock.advance_to(4_000)
        await client.complete(CHAT)
        second.script = [drop]
        return await client.complete(CHAT)

    got = run(act, first, second, third, clock=clock)

    assert got.body == b'answer'
    assert len(third.requests) == 1


def test_instance_that_does_not_answer_is_left_for_another():
    first, second = Instance('i1', [drop]), Instance('i2', [answer])

    got = run(lambda client: client.complete(CHAT), first, second)

    assert got.body == b'answer'
    assert len(first.requests) == 1


def test_refusal_that_says_not_run_is_tried_again_after_its_wait():
    code = ResultCode.OVERLOADED
    instance = Instance('i1', [refuse(code, retry_after_ms=10), answer])

    got = run(lambda client: client.complete(CHAT), instance)

    assert (got.body, len(instance.requests)) == (b'answer', 2)


def test_refusal_whose_wait_passes_the_deadline_is_raised_at_once():
    code = ResultCode.QUEUE_FULL
    instance = Instance('i1', [refuse(code, retry_after_ms=60_000)])

    with pytest.raises(CallError) as caught:
        run(lambda client: client.complete(CHAT), instance)

    error = caught.value
    assert (error.code, error.ran, error.retry_after_ms) == (code, Ran.NOT_RUN, 60_000)
    assert len(instance.requests) == 1


def test_refusal_without_a_wait_is_final():
    instance = Instance('i1', [refuse(ResultCode.UNKNOWN_CLASS)])

    with pytest.raises(CallError, match='why'):
        run(lambda client: client.complete(CHAT), instance)

    assert len(instance.requests) == 1


def test_leaving_instance_is_left_for_another():
    first = Instance('i1', [refuse(ResultCode.SHUTTING_DOWN, retry_after_ms=60_000)])
    second = Instance('i2', [answer])

    assert run(lambda client: client.complete(CHAT), first, second).body == b'answer'


def test_cut_answer_is_never_returned():
    """Answer breaks off.

    The instance dies in the middle of a document.  The half must not pass for
    the whole; the request is idempotent, so it is asked again elsewhere.
    """
    first, second = Instance('i1', [cut]), Instance('i2', [answer])

    assert run(lambda client: client.complete(CHAT), first, second).body == b'answer'


def test_cut_answers_without_end_raise():
    instance = Instance('i1', [cut])

    with pytest.raises(CallError) as caught:
        run(lambda client: client.complete(CHAT), instance, max_failures=2)

    assert caught.value.ran is Ran.UNKNOWN
    assert len(instance.requests) == 3


def test_not_run_is_not_claimed_after_a_try_that_may_have_run():
    """Unknown, then refused.

    The first try is lost on the way, the second refused as not run.  Of the
    call as a whole 'not run' would be a lie.
    """
    script = [drop, refuse(ResultCode.UNKNOWN_CLASS)]
    instance = Instance('i1', script)

    with pytest.raises(CallError) as caught:
        run(lambda client: client.complete(CHAT), instance)

    assert caught.value.ran is Ran.UNKNOWN


def test_non_idempotent_request_keeps_its_key_over_tries():
    """Visit log and a lost reply.

    The reply to a visit log is lost.  Sent again under the same key, the
    system can tell that it ran; under a new key it would run twice.
    """
    first, second = Instance('i1', [drop, answer]), Instance('i2', [answer])

    run(lambda client: client.call_service(VISIT), first, second)

    requests = first.requests + second.requests
    keys = [request.header('x-request-key') for request in requests]
    assert (keys, first.keys + second.keys) == (['i1-1', 'i1-1'], 1)


def test_redirect_under_a_key_does_not_say_not_run():
    """Redirects to a dead issuer.

    The instance that ran a visit dies; the others go on sending its caller
    there.  They say 'not run' of their own try; of the visit it is not true.
    """
    first, second = Instance('i1', [drop]), Instance('i2', [])
    second.script = [redirect_to(first)]

    with pytest.raises(CallError) as caught:
        run(lambda client: client.call_service(VISIT), first, second)

    assert caught.value.ran is Ran.UNKNOWN


def test_blind_refusal_under_a_key_is_no_outcome():
    code = ResultCode.SLOW_CALLER
    instance = Instance('i1', [refuse(code, Ran.UNKNOWN, retry_after_ms=1), answer])

    run(lambda client: client.call_service(VISIT), instance)

    keys = [request.header('x-request-key') for request in instance.requests]
    assert keys == ['i1-1', 'i1-1']


def test_unknown_outcome_under_a_key_is_final():
    code = ResultCode.OUTCOME_UNKNOWN
    instance = Instance('i1', [refuse(code, Ran.UNKNOWN, retry_after_ms=1)])

    with pytest.raises(CallError) as caught:
        run(lambda client: client.call_service(VISIT), instance)

    assert (caught.value.code, caught.value.ran) == (code, Ran.UNKNOWN)
    assert len(instance.requests) == 1


@pytest.mark.parametrize(
    'code', [ResultCode.KEY_REVOKED, ResultCode.WITNESS_UNAVAILABLE]
)
def test_key_that_will_not_run_is_replaced(code):
    instance = Instance('i1', [refuse(code), answer])

    run(lambda client: client.call_service(VISIT), instance)

    keys = [request.header('x-request-key') for request in instance.requests]
    assert keys == ['i1-1', 'i1-2']


def test_redirect_is_followed():
    second = Instance('i2', [answer])
    first = Instance('i1', [redirect_to(second)])

    run(lambda client: client.call_service(VISIT), first, second)

    assert second.requests[0].header('x-request-key') == 'i1-1'
    assert second.requests[0].target == '/v1/services/desk/visits'


def test_redirects_without_end_raise():
    instance = Instance('i1', [])
    instance.script = [redirect_to(instance)]

    with pytest.raises(CallError, match='redirects'):
        run(lambda client: client.complete(CHAT), instance)


@pytest.mark.parametrize('end', ['abort', 'error', 'silent-end'])
def test_stream_that_breaks_off_is_resumed_at_the_missing_token(end):
    """Instance dies mid-stream.

    Two tokens have arrived when the stream breaks off.  The client goes on at
    another instance with the handle, at the third token; the text has neither
    a gap nor a token twice.
    """
    first = Instance('i1', [stream(0, 2, end), stream(2, 5)])
    second = Instance('i2', [stream(2, 5)])

    assert run(read, first, second) == ''.join(TEXTS)

    resumed = (first.requests + second.requests)[1]
    handle = decode_handle(resumed.header('x-continuation-handle'))
    assert (handle.stream_id, handle.offset) == ('s1', 2)


def test_tokens_that_come_again_are_dropped():
    first = Instance('i1', [stream(0, 3, 'abort')])
    second = Instance('i2', [stream(1, 5)])

    assert run(read, first, second) == ''.join(TEXTS)


def test_gap_in_a_stream_raises():
    instance = Instance('i1', [stream(0, 2, 'abort'), stream(3, 5)])

    with pytest.raises(CallError, match='expected token 2'):
        run(read, instance, max_failures=1)


def test_stream_without_a_handle_is_not_run_anew_after_its_first_token():
    instance = Instance('i1', [stream(0, 2, 'abort', handle='')])

    with pytest.raises(CallError) as caught:
        run(read, instance)

    assert caught.value.ran is Ran.UNKNOWN
    assert len(instance.requests) == 1


def test_silent_instance_ends_with_the_deadline():
    instance = Instance('i1', [id])
    call = CHAT._replace(timeout_ms=100)

    with pytest.raises(CallError) as caught:
        run(lambda client: client.complete(call), instance)

    assert (caught.value.code, caught.value.ran) == (
        ResultCode.ANSWER_TIMEOUT,
        Ran.UNKNOWN,
    )


def test_reader_that_stops_early_cancels_the_stream():
    instance = Instance('i1', [stream(0, 2, 'open')])
    left = []

    def keep_open(exchange):
        exchange.on_left = lambda: left.append(True)
        exchange.start(200, [('x-result-code', '0')])
        exchange.send(
            b'id: 0\ndata: {"choices":[{"delta":{"content":"a"}}],"token_count":1}\n\n'
        )

    instance.script = [keep_open]

    async def act(client):
        tokens = client.stream(CHAT)
        await anext(tokens)
        await tokens.aclose()
        async with asyncio.timeout(10):
            while not left:
                await asyncio.sleep(0.005)

    run(act, instance)

    assert left == [True]
