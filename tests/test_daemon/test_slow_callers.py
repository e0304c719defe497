"""Tests of callers that read slowly for some time."""

from __future__ import annotations

import asyncio
import json

from daemon_fakes import TOKEN, FakeServer, call, run_forwarding, serve, wait_until
from test_callers import (
    CHAT_PATH,
    EVENT,
    STREAM,
    FloodingServer,
    connect_with_small_buffer,
)

from savorychute.actions import CancelAttempt, FinishResponse, StartAttempt
from savorychute.http.http_limits import HttpLimits
from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptPaused,
    AttemptSent,
    AttemptStarted,
    CallerLeft,
)
from savorychute.testing.solo import Solo, make_contract, make_engine, make_request

PAUSE_MS = 4_000


def test_slow_caller_does_not_make_an_endpoint_seem_unresponsive():
    """Guard against ejecting engines because of a slow caller.

    A caller reads nothing for some seconds, so the host stops reading from the
    engine.  If the engine then counted as unresponsive, the request would be retried
    at another engine, and one slow caller would get one engine after another ejected.
    """
    solo = Solo(
        contracts=[make_contract()],
        endpoints=[make_engine('engine-1'), make_engine('engine-2')],
    )
    solo.run_for(5_000)
    solo.deliver(make_request('r1'))
    start = solo.find(StartAttempt)[-1]
    solo.deliver(AttemptSent(start.attempt_id))
    started = AttemptStarted(start.attempt_id, 200, 'text/event-stream', 's')
    solo.deliver(started)
    solo.deliver(AttemptChunk(start.attempt_id, 0, 1, b'air'))
    for _ in range(PAUSE_MS // 250):
        solo.deliver(AttemptPaused(start.attempt_id))
        solo.run_for(250)
    solo.deliver(AttemptChunk(start.attempt_id, 1, 1, b' lock'))
    solo.deliver(AttemptEnded(start.attempt_id, 2))

    assert len(solo.find(StartAttempt)) == 1
    assert solo.find(CancelAttempt) == []
    assert solo.find(FinishResponse) == [FinishResponse('r1')]


def test_host_reports_a_response_that_waits_for_its_caller():
    async def main():
        engine = FloodingServer()
        limits = HttpLimits(send_buffer_bytes=16_384)
        async with (
            serve(engine) as address,
            run_forwarding(address, http=limits) as (host, instance),
        ):
            sock = await connect_with_small_buffer(host.address.caller_port)
            async with call(None, sock=sock, limit=1) as caller:
                headers = {'authorization': f'Bearer {TOKEN}'}
                caller.write_request('POST', CHAT_PATH, headers, STREAM)
                await wait_until(lambda: instance.inputs_of(AttemptPaused))
                count = len(instance.inputs_of(AttemptChunk))
                await caller.reader.read(1)
                read_bytes = 0
                while len(instance.inputs_of(AttemptChunk)) <= count + 5:
                    read_bytes += len(await caller.reader.read(65_536))
                return read_bytes, instance.inputs_of(CallerLeft)

    read_bytes, left = asyncio.run(main())

    assert read_bytes > len(EVENT)
    assert left == []


def test_ticks_continue_after_one_that_raises():
    """Guard against the end of ticking after an error.

    One tick raises.  Without further ticks the instance would still respond, but
    never again detect an expired deadline or a dead peer.
    """
    ticks = []

    async def main():
        reports = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reports.append(context))
        async with run_forwarding() as (_, instance):

            def raise_once(now_ms):
                ticks.append(now_ms)
                if len(ticks) == 1:
                    raise ZeroDivisionError
                instance.next_tick_ms = now_ms + 20
                return []

            instance.tick = raise_once
            instance.next_tick_ms = 0
            await wait_until(lambda: len(ticks) > 2)
        return reports

    reports = asyncio.run(main())

    assert [report['message'] for report in reports] == ['tick failed']


def test_action_that_raises_does_not_prevent_others():
    async def main():
        reports = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reports.append(context))
        async with (
            run_forwarding() as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            deliver = instance.deliver
            instance.deliver = lambda *arguments: [None, *deliver(*arguments)]
            caller.write_request('POST', CHAT_PATH, {}, STREAM)
            return (await caller.read_response()).status, len(reports)

    assert asyncio.run(main()) == (401, 1)


def test_unread_responses_are_limited_over_all_connections():
    """Guard against many slow callers that together exhaust the memory.

    Callers request long responses and do not read them.  Each response is within
    its own limit, but not all together.  The caller with the most unread bytes is
    disconnected; the other still gets its complete response.
    """

    def respond_by_size(exchange):
        size = json.loads(exchange.request.body)['max_tokens']
        exchange.respond(200, [], b'x' * size)

    def send_request(caller, size):
        body = b'{"model":"m","messages":[],"max_tokens":%d}' % size
        headers = {'authorization': f'Bearer {TOKEN}'}
        caller.write_request('POST', CHAT_PATH, headers, body)

    async def main():
        limits = HttpLimits(send_buffer_bytes=16_384, unread_bytes=800_000)
        async with (
            serve(FakeServer(respond_by_size)) as address,
            run_forwarding(address, http=limits) as (host, _),
        ):
            port = host.address.caller_port
            socks = [await connect_with_small_buffer(port) for _ in range(2)]
            async with (
                call(None, sock=socks[0], limit=1) as large,
                call(None, sock=socks[1], limit=1) as small,
            ):
                send_request(small, 700_000)
                await wait_until(lambda: host.server.unread_bytes > 500_000)
                send_request(large, 900_000)
                await wait_until(lambda: host.server.open_connections == 1)
                return await large.read_response(), await small.read_response()

    large_response, small_response = asyncio.run(main())

    assert not large_response.complete
    assert (small_response.complete, len(small_response.body)) == (True, 700_000)
