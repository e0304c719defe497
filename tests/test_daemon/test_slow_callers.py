"""Tests of callers that read slowly for a while."""

from __future__ import annotations

import asyncio
import json

from daemon_fakes import TOKEN, SmallServer, call, run_passing, serve, wait_until
from test_callers import CHAT_PATH, EVENT, STREAM, CountingServer, connect_small

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

STALL_MS = 4_000


def test_slow_caller_is_not_taken_for_a_silent_endpoint():
    """Caller in a tunnel.

    A caller reads nothing for some seconds, so the host stops reading from the
    engine.  The engine's silence was taken for the engine's fault: the answer
    was run anew elsewhere, and one slow caller got engine after engine ejected.
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
    for _ in range(STALL_MS // 250):
        solo.deliver(AttemptPaused(start.attempt_id))
        solo.run_for(250)
    solo.deliver(AttemptChunk(start.attempt_id, 1, 1, b' lock'))
    solo.deliver(AttemptEnded(start.attempt_id, 2))

    assert len(solo.find(StartAttempt)) == 1
    assert solo.find(CancelAttempt) == []
    assert solo.find(FinishResponse) == [FinishResponse('r1')]


def test_host_reports_an_answer_that_waits_for_its_caller():
    async def main():
        engine = CountingServer()
        limits = HttpLimits(send_buffer_bytes=16_384)
        async with (
            serve(engine) as address,
            run_passing(address, http=limits) as (host, instance),
        ):
            small = await connect_small(host.address.caller_port)
            async with call(None, sock=small, limit=1) as caller:
                headers = {'authorization': f'Bearer {TOKEN}'}
                caller.write_request('POST', CHAT_PATH, headers, STREAM)
                await wait_until(lambda: instance.of(AttemptPaused))
                count = len(instance.of(AttemptChunk))
                await caller.reader.read(1)
                read_bytes = 0
                while len(instance.of(AttemptChunk)) <= count + 5:
                    read_bytes += len(await caller.reader.read(65_536))
                return read_bytes, instance.of(CallerLeft)

    read_bytes, left = asyncio.run(main())

    assert read_bytes > len(EVENT)
    assert left == []


def test_tick_that_raises_is_not_the_last_one():
    """Defect in a part.

    One tick raises.  Without a further tick the instance would answer, and
    never again notice a deadline or a dead peer.
    """
    ticks = []

    async def main():
        reports = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reports.append(context))
        async with run_passing() as (_, instance):

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


def test_action_that_raises_keeps_back_no_other():
    async def main():
        reports = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reports.append(context))
        async with (
            run_passing() as (host, instance),
            call(host.address.caller_port) as caller,
        ):
            answer = instance.deliver
            instance.deliver = lambda *arguments: [None, *answer(*arguments)]
            caller.write_request('POST', CHAT_PATH, {}, STREAM)
            return (await caller.read_answer()).status, len(reports)

    assert asyncio.run(main()) == (401, 1)


def test_unread_answers_are_bounded_over_all_connections():
    """Many slow callers.

    Callers ask for long answers and read nothing.  Each answer is within its
    bound, but together they would fill the memory.  The one with the most
    unread is given up; the other still gets all of its answer.
    """

    def answer_by_size(exchange):
        size = json.loads(exchange.request.body)['max_tokens']
        exchange.respond(200, [], b'x' * size)

    def ask(caller, size):
        body = b'{"model":"m","messages":[],"max_tokens":%d}' % size
        headers = {'authorization': f'Bearer {TOKEN}'}
        caller.write_request('POST', CHAT_PATH, headers, body)

    async def main():
        limits = HttpLimits(send_buffer_bytes=16_384, unread_bytes=800_000)
        async with (
            serve(SmallServer(answer_by_size)) as address,
            run_passing(address, http=limits) as (host, _),
        ):
            port = host.address.caller_port
            socks = [await connect_small(port) for _ in range(2)]
            async with (
                call(None, sock=socks[0], limit=1) as large,
                call(None, sock=socks[1], limit=1) as small,
            ):
                ask(small, 700_000)
                await wait_until(lambda: host.server.unread_bytes > 500_000)
                ask(large, 900_000)
                await wait_until(lambda: host.server.open_connections == 1)
                return await large.read_answer(), await small.read_answer()

    large, small = asyncio.run(main())

    assert not large.whole
    assert (small.whole, len(small.body)) == (True, 700_000)
