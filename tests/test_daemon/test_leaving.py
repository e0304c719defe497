"""Tests of a daemon that leaves."""

from __future__ import annotations

import asyncio

from daemon_fakes import TOKEN, SmallServer, call, run_passing, serve, wait_until

from savorychute.inputs import ShutdownRequested

HEADERS = {'authorization': f'Bearer {TOKEN}'}
STREAM = b'{"model":"m","messages":[],"stream":true}'
EVENT = b'id: %d\ndata: {"choices":[{"delta":{"content":"a"}}],"token_count":1}\n\n'


def begin_stream(exchange):
    exchange.start(200, [('content-type', 'text/event-stream')])
    exchange.send(EVENT % 0)


def test_shutdown_cuts_off_no_request_in_progress():
    """Shutdown during an answer.

    An instance is replaced while it passes on a long answer.  It keeps the
    answer going to its end, however long that takes, and only then closes.
    """

    async def main():
        engine = SmallServer(begin_stream)
        async with (
            serve(engine) as address,
            run_passing(address) as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            caller.write_request('POST', '/v1/chat/completions', HEADERS, STREAM)
            await wait_until(lambda: len(engine.exchanges) == 1)
            leaving = asyncio.create_task(host.drain())
            await wait_until(lambda: instance.of(ShutdownRequested))
            for _ in range(20):
                await asyncio.sleep(0.005)
            was_done = leaving.done()
            exchange = engine.exchanges[0]
            exchange.send(EVENT % 1)
            exchange.send(b'data: [DONE]\n\n')
            exchange.finish()
            answer = await caller.read_answer()
            async with asyncio.timeout(10):
                await leaving
            return was_done, answer

    was_done, answer = asyncio.run(main())

    assert not was_done
    assert answer.whole
    assert answer.body.endswith(b'data: [DONE]\n\n')


def test_request_being_read_at_the_shutdown_is_answered():
    """Shutdown while a request arrives.

    A caller has sent half of its request when the listener closes.  A cut
    connection would leave it without a word; it is read and answered.
    """

    async def main():
        async with (
            run_passing() as (host, _),
            call(host.address.caller_port) as caller,
        ):
            caller.writer.write(b'GET /readyz HTTP/1.1\r\n')
            await wait_until(lambda: host.server.open_connections == 1)
            await asyncio.sleep(0.02)
            leaving = asyncio.create_task(host.drain())
            await wait_until(lambda: not host.server.listener.is_serving())
            caller.writer.write(b'host: x\r\n\r\n')
            answer = await caller.read_answer()
            caller.writer.close()
            async with asyncio.timeout(10):
                await leaving
            return answer

    answer = asyncio.run(main())

    assert (answer.status, answer.headers['x-result-code']) == (503, '2008')
    assert answer.headers['connection'] == 'close'


def test_leaving_daemon_answers_until_discovery_answers_have_run_out():
    async def main():
        async with run_passing(leave_grace_ms=200) as (host, _):
            leaving = asyncio.create_task(host.drain())
            await asyncio.sleep(0)
            async with call(host.address.caller_port) as caller:
                caller.write_request('GET', '/readyz', {})
                answer = await caller.read_answer()
            async with asyncio.timeout(10):
                await leaving
            return answer.status

    assert asyncio.run(main()) == 503
