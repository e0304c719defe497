"""Crowds that open connections and send little, on every port."""

from __future__ import annotations

import asyncio
import signal
from functools import partial

import pytest
from crowd_callers import (
    ask_in_turn,
    ask_ordinary,
    encode_head,
    encode_request,
    send_and_stay,
)
from crowd_process import BODY_BYTES, FILES

PORTS = ('readiness_port', 'discovery_port', 'metrics_port', 'peer_port', 'tunnel_port')
STOP_S = 30


@pytest.mark.parametrize('returns', [False, True])
def test_silent_connections_keep_nobody_out(play, returns):
    """Guards against connections that send nothing and take all places."""

    async def crowd_of(site, crowd):
        crowd.add(
            FILES + 100, partial(send_and_stay, site.caller_port, b'', returns=returns)
        )
        await crowd.stay(3)

    play(crowd_of, leaves=not returns)


def test_connections_that_were_used_once_keep_nobody_out(play):
    """Guards against idle connections that take all places."""

    async def crowd_of(site, crowd):
        data = encode_request(0)
        crowd.add(FILES + 100, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(3)

    play(crowd_of)


@pytest.mark.parametrize('port', PORTS)
def test_silent_connections_to_other_ports_keep_nobody_out(play, port):
    """Guards against ports with limits of their own, which add up."""

    async def crowd_of(site, crowd):
        crowd.add(FILES, partial(send_and_stay, getattr(site, port), b''))
        crowd.add(FILES, partial(send_and_stay, site.caller_port, b''))
        await crowd.stay(3)

    play(crowd_of)


def test_bodies_to_all_ports_stay_within_the_memory(play):
    """Guards against memory that each port may take for itself."""

    async def crowd_of(site, crowd):
        data = encode_request(BODY_BYTES)[:-10]
        for port in ('caller_port', *PORTS):
            crowd.add(60, partial(send_and_stay, getattr(site, port), data))
        await crowd.stay(3)

    play(crowd_of)


def test_answers_of_all_ports_that_nobody_reads_stay_within_the_memory(play):
    """Guards against answers of other ports that nobody reads."""

    async def crowd_of(site, crowd):
        metrics = encode_head('/metrics', 'GET') * 2_000
        ready = encode_head('/-/readyz', 'GET') * 5_000
        resolve = encode_head('/-/resolve?name=x&region=y&zone=z', 'GET') * 5_000
        crowd.add(20, partial(send_and_stay, site.metrics_port, metrics))
        crowd.add(40, partial(send_and_stay, site.readiness_port, ready))
        crowd.add(40, partial(send_and_stay, site.discovery_port, resolve))
        await crowd.stay(6)

    play(crowd_of)


@pytest.mark.parametrize('lines', [1, 1_500])
def test_heads_without_their_end_keep_nobody_out(play, lines):
    """Guards against unfinished heads, of one long line or many short ones."""

    async def crowd_of(site, crowd):
        line = f'x: {"y" * (15_000 // lines)}\r\n'.encode()
        data = encode_head()[:-2] + line * lines
        crowd.add(FILES, partial(send_and_stay, site.caller_port, data[:15_900]))
        await crowd.stay(3)

    play(crowd_of)


def test_large_heads_of_ended_requests_are_not_kept(play):
    """Guards against heads that ended requests hold."""

    async def crowd_of(site, crowd):
        fields = {f'x{number}': 'y' * 50 for number in range(250)}
        request = encode_request(0, **fields)
        crowd.add(30, partial(ask_in_turn, site.caller_port, request, 60))
        await crowd.stay(10)

    play(crowd_of)


def test_connections_that_come_and_go_keep_nobody_out(play):
    """Guards against descriptors and memory of connections that were lost."""

    async def come_and_go(port):
        for number in range(60):
            data = encode_request(BODY_BYTES)[: 300 + number * 16_000]
            caller = asyncio.create_task(send_and_stay(port, data))
            await asyncio.wait([caller], timeout=0.05)
            caller.cancel()

    async def crowd_of(site, crowd):
        crowd.add(20, partial(come_and_go, site.caller_port))
        await crowd.wait()

    play(crowd_of)


def test_process_stops_in_order_amid_a_crowd(play):
    """Guards against a stop that a crowd delays for ever, and against a crash in it."""

    async def crowd_of(site, crowd):
        crowd.add(
            40,
            partial(send_and_stay, site.caller_port, encode_request(BODY_BYTES)[:-10]),
        )
        crowd.add(100, partial(send_and_stay, site.caller_port, b'', returns=True))
        answer = encode_head('/a/4/1000', content_length=0) * 3
        crowd.add(20, partial(send_and_stay, site.caller_port, answer))
        await crowd.stay(2)
        assert await ask_ordinary(site.caller_port) == 200
        peak_mb = site.read_peak_mb()
        site.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_S):
            code = await site.process.wait()
        raise Stopped(code, peak_mb)

    with pytest.raises(Stopped) as stopped:
        play(crowd_of)

    assert stopped.value.args[0] == 0


class Stopped(Exception):
    """The process has ended, so that nothing can be asked of it."""
