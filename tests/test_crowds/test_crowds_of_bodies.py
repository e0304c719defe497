"""Crowds that send large bodies, whole or in part."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest
from crowd_callers import (
    CrowdCaller,
    ask_in_turn,
    encode_chunks,
    encode_head,
    encode_request,
    send_and_stay,
)
from crowd_process import BODY_BYTES

CHUNKED = {'transfer_encoding': 'chunked'}


def test_bodies_of_ended_requests_are_not_kept(play):
    """Guards against memory that ended requests hold until a collection of garbage."""

    async def crowd_of(site, crowd):
        request = encode_request(BODY_BYTES)
        crowd.add(6, partial(ask_in_turn, site.caller_port, request, 30))
        await crowd.wait()

    play(crowd_of)


def test_bodies_of_callers_that_leave_are_not_kept(play):
    """Guards against memory that is held for callers which left before their answer."""

    async def leave_again(port):
        for _ in range(20):
            caller = CrowdCaller(port)
            try:
                await caller.connect()
                await caller.send(encode_request(BODY_BYTES, '/a/4/2000'))
                await asyncio.sleep(0.05)
            except OSError:
                await asyncio.sleep(0.05)
            finally:
                caller.leave()

    async def crowd_of(site, crowd):
        crowd.add(6, partial(leave_again, site.caller_port))
        await crowd.wait()

    play(crowd_of)


def test_bodies_of_waiting_requests_stay_within_the_memory(play):
    """Guards against bodies that pile up while endpoints are slow."""

    async def crowd_of(site, crowd):
        request = encode_request(BODY_BYTES, '/a/4/1500')
        crowd.add(60, partial(ask_in_turn, site.caller_port, request, 3))
        await crowd.stay(3)

    play(crowd_of)


def test_answers_that_repeat_large_bodies_stay_within_the_memory(play):
    """Guards against large answers that are held beside large bodies."""

    async def crowd_of(site, crowd):
        request = encode_request(BODY_BYTES, f'/a/{BODY_BYTES}/0')
        crowd.add(10, partial(ask_in_turn, site.caller_port, request, 15))
        await crowd.wait()

    play(crowd_of)


@pytest.mark.parametrize('returns', [False, True])
@pytest.mark.parametrize('size_bytes', [20_000, BODY_BYTES])
def test_bodies_without_their_end_keep_nobody_out(play, size_bytes, returns):
    """Guards against unfinished bodies that take the memory of all other callers."""

    async def crowd_of(site, crowd):
        data = encode_request(size_bytes)[:-10]
        crowd.add(100, partial(send_and_stay, site.caller_port, data, returns=returns))
        await crowd.stay(3)

    play(crowd_of, leaves=not returns)


def test_bodies_that_grow_slowly_keep_nobody_out(play):
    """Guards against bodies that stop for a while again and again."""

    async def send_slowly(port):
        while True:
            caller = CrowdCaller(port)
            try:
                await caller.connect()
                await caller.send(encode_head(content_length=BODY_BYTES))
                await caller.send(bytes(BODY_BYTES // 2))
                for _ in range(100):
                    await asyncio.sleep(0.2)
                    await caller.send(b'yyyyyyyy')
            except OSError:
                await asyncio.sleep(0.2)
            finally:
                caller.leave()

    async def crowd_of(site, crowd):
        crowd.add(60, partial(send_slowly, site.caller_port))
        await crowd.stay(4)

    play(crowd_of, leaves=False)


@pytest.mark.parametrize('chunk_bytes', [2, 16, 1_000])
def test_bodies_in_small_chunks_take_no_more_than_their_size(play, chunk_bytes):
    """Guards against chunks that each cost memory, and time, besides their bytes."""

    async def crowd_of(site, crowd):
        data = encode_head(**CHUNKED) + encode_chunks(BODY_BYTES - 1_000, chunk_bytes)
        crowd.add(20, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(6)

    play(crowd_of)


def test_callers_that_wait_to_continue_keep_nobody_out(play):
    """Guards against callers that announce large bodies and send none."""

    async def crowd_of(site, crowd):
        data = encode_head(content_length=BODY_BYTES, expect='100-continue')
        crowd.add(150, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(2)

    play(crowd_of)


@pytest.mark.parametrize('method', ['HEAD', 'GET'])
def test_bodies_of_any_method_are_limited(play, method):
    """Guards against bodies that are not counted, as their method has none usually."""

    async def crowd_of(site, crowd):
        request = encode_request(BODY_BYTES, method=method)
        crowd.add(60, partial(send_and_stay, site.caller_port, request * 2))
        await crowd.stay(3)

    play(crowd_of)


@pytest.mark.parametrize(
    'end', [b'2;x=' + b'y' * 15_000, b'0\r\nx: ' + b'y' * 15_000, b'f' * 15]
)
def test_ends_of_chunked_bodies_are_limited(play, end):
    """Guards against extensions and trailers without an end."""

    async def crowd_of(site, crowd):
        data = encode_head(**CHUNKED) + encode_chunks(60_000, 6_000) + end
        crowd.add(150, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(3)

    play(crowd_of)


def test_smaller_limits_apply_while_bodies_arrive(play):
    """Guards against a configuration with smaller limits amid large bodies."""

    async def crowd_of(site, crowd):
        data = encode_request(BODY_BYTES)[:-10]
        crowd.add(60, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(2)
        site.write_configuration(2, maxBodyBytes=10_000, maxHeaderBytes=1_000)
        await crowd.stay(2)

    play(crowd_of)
