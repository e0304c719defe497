"""Crowds that call an assembled instance, with and without encryption."""

from __future__ import annotations

from functools import partial

import pytest
from crowd_callers import (
    ask_in_turn,
    encode_chunks,
    encode_head,
    encode_request,
    send_and_stay,
)
from crowd_instance import CALL
from crowd_process import BODY_BYTES, FILES

# The start of a handshake; what it announces does not follow.
PARTIAL_HELLO = b'\x16\x03\x01\x02\x00\x01'


@pytest.mark.parametrize('data', [b'', PARTIAL_HELLO])
def test_handshakes_without_their_end_keep_nobody_out(play_instance, data):
    """Guards against connections that are counted only once they are encrypted."""

    async def crowd_of(site, crowd):
        crowd.add(
            FILES + 100, partial(send_and_stay, site.caller_port, data, returns=True)
        )
        await crowd.stay(3)

    play_instance(crowd_of, encrypted=True)


@pytest.mark.parametrize('encrypted', [False, True])
def test_silent_connections_to_an_instance_keep_nobody_out(play_instance, encrypted):
    """Guards against connections that send nothing and take all places."""

    async def crowd_of(site, crowd):
        crowd.add(FILES, partial(send_and_stay, site.caller_port, b'', tls=site.tls))
        await crowd.stay(5)

    play_instance(crowd_of, encrypted=encrypted)


@pytest.mark.parametrize('encrypted', [False, True])
def test_bodies_without_their_end_keep_nobody_out(play_instance, encrypted):
    """Guards against unfinished bodies that hold the memory of an instance."""

    async def crowd_of(site, crowd):
        data = encode_request(BODY_BYTES, **CALL)[:-10]
        crowd.add(100, partial(send_and_stay, site.caller_port, data, tls=site.tls))
        await crowd.stay(4)

    play_instance(crowd_of, encrypted=encrypted)


@pytest.mark.parametrize('encrypted', [False, True])
def test_bodies_in_small_chunks_take_no_more_than_their_size(play_instance, encrypted):
    """Guards against chunks that take an object and a turn of the loop each."""

    async def crowd_of(site, crowd):
        head = encode_head(**CALL, transfer_encoding='chunked')
        data = head + encode_chunks(BODY_BYTES // 4, 2)
        crowd.add(20, partial(send_and_stay, site.caller_port, data, tls=site.tls))
        await crowd.stay(4)

    play_instance(crowd_of, encrypted=encrypted)


@pytest.mark.parametrize('encrypted', [False, True])
def test_answers_of_an_instance_that_nobody_reads(play_instance, encrypted):
    """Guards against requests that are sent ahead, and unread answers of any path."""

    async def crowd_of(site, crowd):
        data = encode_head('/metrics', 'GET') * 2_000
        crowd.add(60, partial(send_and_stay, site.caller_port, data, tls=site.tls))
        await crowd.stay(5)

    play_instance(crowd_of, encrypted=encrypted)


@pytest.mark.parametrize('encrypted', [False, True])
def test_bodies_of_ended_requests_to_an_instance_are_not_kept(play_instance, encrypted):
    """Guards against memory of ended requests that waits for a collection."""

    async def crowd_of(site, crowd):
        request = encode_request(BODY_BYTES, **CALL)
        crowd.add(6, partial(ask_in_turn, site.caller_port, request, 30, site.tls))
        await crowd.wait()

    play_instance(crowd_of, encrypted=encrypted)


def test_documents_of_many_parts_stay_within_the_memory(play_instance):
    """Guards against bodies that take many times their size once they are read."""

    async def crowd_of(site, crowd):
        messages = ','.join(['{"role":"user","content":""}'] * (BODY_BYTES // 32))
        body = f'{{"model":"model","messages":[{messages}]}}'.encode()
        fields = {**CALL, 'target': '/v1/chat/completions'}
        request = encode_head(**fields, content_length=len(body)) + body
        crowd.add(10, partial(ask_in_turn, site.caller_port, request, 10))
        await crowd.wait()

    play_instance(crowd_of)
