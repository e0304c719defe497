"""Crowds that send requests ahead, or do not read their answers."""

from __future__ import annotations

from functools import partial

import pytest
from crowd_callers import KEY, encode_head, encode_request, send_and_stay
from crowd_process import BODY_BYTES


def test_large_requests_sent_ahead_stay_within_the_memory(play):
    """Guards against bodies that are read ahead, and answers that nobody reads."""

    async def crowd_of(site, crowd):
        data = encode_request(BODY_BYTES, f'/a/{BODY_BYTES}/0') * 20
        crowd.add(60, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(8)

    play(crowd_of)


@pytest.mark.parametrize('key', [KEY, 'nobody'])
def test_small_requests_sent_ahead_stay_within_the_memory(play, key):
    """Guards against answers that nobody reads while further requests are run."""

    async def crowd_of(site, crowd):
        data = encode_request(0, '/a/2000/0', key=key) * 2_000
        crowd.add(120, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(8)

    play(crowd_of)


def test_requests_behind_one_that_waits_stay_within_the_memory(play):
    """Guards against bytes that are read ahead of a request in progress."""

    async def crowd_of(site, crowd):
        data = encode_request(0, '/a/4/9000') + bytes(BODY_BYTES)
        crowd.add(150, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(3)

    play(crowd_of)


def test_large_answers_that_nobody_reads_stay_within_the_memory(play):
    """Guards against whole answers that are written without regard to the limits."""

    async def crowd_of(site, crowd):
        data = encode_head(f'/a/{BODY_BYTES}/0', content_length=0)
        crowd.add(120, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(4)

    play(crowd_of)


def test_answers_below_the_held_size_that_nobody_reads_stay_within_the_memory(play):
    """Guards against answers that are held until complete and then written at once."""

    async def crowd_of(site, crowd):
        data = encode_head('/a/250000/0', content_length=0) * 8
        crowd.add(150, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(4)

    play(crowd_of)


@pytest.mark.parametrize('connection', ['keep-alive', 'close'])
def test_callers_that_read_nothing_keep_nobody_out(play, connection):
    """Guards against places that are held by responses which nobody reads."""

    async def crowd_of(site, crowd):
        data = encode_request(0, '/a/350000/0', connection=connection)
        crowd.add(400, partial(send_and_stay, site.caller_port, data))
        await crowd.stay(3)

    play(crowd_of)
