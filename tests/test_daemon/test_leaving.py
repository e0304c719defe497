"""Tests of the graceful shutdown of a daemon."""

from __future__ import annotations

import asyncio

from daemon_fakes import TOKEN, FakeServer, call, run_forwarding, serve, wait_until

from savorychute.inputs import ShutdownRequested

HEADERS = {'authorization': f'Bearer {TOKEN}'}
STREAM = b'{"model":"m","messages":[],"stream":true}'
EVENT = b'id: %d\ndata: {"choices":[{"delta":{"content":"a"}}],"token_count":1}\n\n'


def start_stream(exchange):
    exchange.start(200, [('content-type', 'text/event-stream')])
    exchange.send(EVENT % 0)


def test_shutdown_truncates_no_response_in_progress():
    """Guard against a shutdown that truncates a response.

    An instance is replaced while it forwards a long response.  It forwards the
    response to its end, however long that takes, and only then closes.
    """

    async def main():
        engine = FakeServer(start_stream)
        async with (
            serve(engine) as address,
            run_forwarding(address) as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('POST', '/v1/chat/completions', HEADERS, STREAM)
            await wait_until(lambda: len(engine.exchanges) == 1)
            draining = asyncio.create_task(host.drain())
            await wait_until(lambda: instance.inputs_of(ShutdownRequested))
            for _ in range(20):
                await asyncio.sleep(0.005)
            was_done = draining.done()
            exchange = engine.exchanges[0]
            exchange.send(EVENT % 1)
            exchange.send(b'data: [DONE]\n\n')
            exchange.finish()
            response = await caller.read_response()
            async with asyncio.timeout(10):
                await draining
            return was_done, response

    was_done, response = asyncio.run(main())

    assert not was_done
    assert response.complete
    assert response.body.endswith(b'data: [DONE]\n\n')


def test_request_being_read_at_the_shutdown_gets_a_response():
    """Guard against a shutdown that drops a request while it is being read.

    A caller has sent half of its request when the listener closes.  An aborted
    connection would leave it without a response, so the rest is read first.
    """

    async def main():
        async with (
            run_forwarding() as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.writer.write(b'GET /readyz HTTP/1.1\r\n')
            await wait_until(lambda: host.server.open_connections == 1)
            await asyncio.sleep(0.02)
            draining = asyncio.create_task(host.drain())
            await wait_until(lambda: not host.server.listener.is_serving())
            caller.writer.write(b'host: x\r\n\r\n')
            response = await caller.read_response()
            caller.writer.close()
            async with asyncio.timeout(10):
                await draining
            return response

    response = asyncio.run(main())

    assert (response.status, response.headers['x-result-code']) == (503, '2008')
    assert response.headers['connection'] == 'close'


def test_leaving_daemon_responds_until_discovery_responses_have_expired():
    async def main():
        async with run_forwarding(leave_grace_ms=200) as (host, _):
            draining = asyncio.create_task(host.drain())
            await asyncio.sleep(0)
            async with call(host.address.caller_port) as caller:
                caller.write_request('GET', '/readyz', {})
                response = await caller.read_response()
            async with asyncio.timeout(10):
                await draining
            return response.status

    assert asyncio.run(main()) == 503
