"""Tests of messages between instances over sockets."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager, suppress

from daemon_fakes import KEYS, wait_until

from savorychute.actions import SendPeer
from savorychute.daemon.frame_protocol import MAX_RECEIVERS, MAX_UNFINISHED_BYTES
from savorychute.daemon.frame_sender import MAX_QUEUED_FRAMES, FrameSender
from savorychute.daemon.peer_link import open_peer_link
from savorychute.member_address import MemberAddress
from savorychute.membership.member_update import MemberUpdate
from savorychute.membership.ping import Ping
from savorychute.wire.message_codec import MAX_FRAME_BYTES
from savorychute.wire.peer_codec import PeerCodec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys

OTHER_KEYS = PeerKeys(PeerKey(1, b'fedcba9876543210'))
ADDRESS = MemberAddress('i1', 1, 'kerala', 'kochi-hall', '127.0.0.1', 1, 2)


def make_ping(update_count):
    updates = tuple(
        MemberUpdate(ADDRESS._replace(instance=f'instance-{number}'))
        for number in range(update_count)
    )
    return Ping(7, MemberUpdate(ADDRESS), 3, updates)


def run_link(act, keys=KEYS):
    """Run *act* with a sending and a receiving link; return the received inputs."""
    inputs = []

    async def main():
        sender = PeerCodec('i1', 1, KEYS)
        receiver = PeerCodec('i2', 1, keys)
        async with (
            open_peer_link(sender, '127.0.0.1', 0) as sending_link,
            open_peer_link(receiver, '127.0.0.1', 0) as receiving_link,
        ):
            receiving_link.on_input = inputs.append
            await act(sending_link, receiving_link, inputs)
        return inputs

    return asyncio.run(main())


def send(sending_link, receiving_link, message):
    sending_link.send(SendPeer('i2', '127.0.0.1', receiving_link.port, message))


def test_small_message_is_sent_by_datagram_and_large_one_by_connection():
    small = make_ping(1)
    large = make_ping(500)

    async def act(sending_link, receiving_link, inputs):
        send(sending_link, receiving_link, small)
        await wait_until(lambda: len(inputs) == 1)
        assert receiving_link.open_receivers == 0
        send(sending_link, receiving_link, large)
        await wait_until(lambda: len(inputs) == 2)
        assert receiving_link.open_receivers == 1

    received = run_link(act)

    assert [each.sender for each in received] == ['i1', 'i1']
    assert [each.message for each in received] == [small, large]


def test_messages_without_the_peer_key_are_rejected():
    """Guard against messages from a sender without the peer key.

    A sender that can reach the peer port sends well-formed messages.  Without the
    key they are dropped and counted, by datagram and by connection.
    """

    async def act(sending_link, receiving_link, inputs):
        send(sending_link, receiving_link, make_ping(1))
        send(sending_link, receiving_link, make_ping(500))
        await wait_until(lambda: receiving_link.rejected == 2)

    assert run_link(act, keys=OTHER_KEYS) == []


def test_garbage_on_the_peer_port_is_dropped():
    async def act(sending_link, receiving_link, inputs):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b'garbage', ('127.0.0.1', receiving_link.port))
        reader, writer = await asyncio.open_connection('127.0.0.1', receiving_link.port)
        writer.write((MAX_FRAME_BYTES + 1).to_bytes(4, 'big') + b'a' * 10)
        with suppress(ConnectionResetError):
            assert await reader.read() == b''
        writer.close()
        await wait_until(lambda: receiving_link.rejected == 1)
        send(sending_link, receiving_link, make_ping(0))
        await wait_until(lambda: inputs)

    assert len(run_link(act)) == 1


def test_number_of_unfinished_frames_is_limited():
    """Guard against many connections with unfinished frames.

    An unauthenticated sender opens many connections and sends half a frame on
    each.  The number of open connections is limited; the others are closed.
    """

    async def act(sending_link, receiving_link, inputs):
        writers = []
        for _ in range(MAX_RECEIVERS + 5):
            _, writer = await asyncio.open_connection('127.0.0.1', receiving_link.port)
            writer.write(b'\0\0\1')
            writers.append(writer)
        await wait_until(lambda: receiving_link.open_receivers == MAX_RECEIVERS)
        for writer in writers:
            writer.transport.abort()
        await wait_until(lambda: receiving_link.open_receivers == 0)

    assert run_link(act) == []


def test_queue_for_an_unresponsive_peer_is_limited():
    async def main():
        sender = FrameSender('127.0.0.1', 9)
        accepted = [sender.send(b'x') for _ in range(MAX_QUEUED_FRAMES + 1)]
        sender.close()
        return accepted

    accepted = asyncio.run(main())

    assert accepted == [True] * MAX_QUEUED_FRAMES + [False]


def test_unfinished_frames_of_strangers_are_limited_together():
    """Guards against many connections that each hold a part of a frame.

    The frames of instances still arrive beside them.
    """
    part = (MAX_FRAME_BYTES - 1).to_bytes(4, 'big') + bytes(MAX_FRAME_BYTES // 2)
    large = make_ping(500)

    async def act(sending_link, receiving_link, inputs):
        strangers = []
        for _ in range(MAX_RECEIVERS // 2):
            _, writer = await asyncio.open_connection('127.0.0.1', receiving_link.port)
            strangers.append(writer)
            writer.write(part)
            with suppress(ConnectionError):
                await writer.drain()
            await asyncio.sleep(0.01)
        held_bytes = sum(len(each._buffer) for each in receiving_link._receivers)
        assert 0 < held_bytes <= MAX_UNFINISHED_BYTES
        send(sending_link, receiving_link, large)
        await wait_until(lambda: inputs)
        for writer in strangers:
            writer.transport.abort()

    (received,) = run_link(act)
    assert received.message == large


def test_strangers_that_send_nothing_do_not_keep_peers_out():
    """Guards against strangers that have all places until their time is over."""
    large = make_ping(500)

    async def act(sending_link, receiving_link, inputs):
        send(sending_link, receiving_link, large)
        await wait_until(lambda: len(inputs) == 1)
        strangers = []
        for _ in range(MAX_RECEIVERS + 5):
            _, writer = await asyncio.open_connection('127.0.0.1', receiving_link.port)
            writer.write(b'\0\0\1')
            strangers.append(writer)
        await wait_until(lambda: receiving_link.open_receivers == MAX_RECEIVERS)
        async with run_newcomer(receiving_link, large):
            await wait_until(lambda: len(inputs) == 2)
        # The connection of the first one was kept.
        send(sending_link, receiving_link, large)
        await wait_until(lambda: len(inputs) == 3)
        for writer in strangers:
            writer.transport.abort()

    received = run_link(act)

    assert [each.sender for each in received] == ['i1', 'i3', 'i1']


@asynccontextmanager
async def run_newcomer(receiving_link, message):
    """Send a message from an instance that has no connection yet."""
    codec = PeerCodec('i3', 1, KEYS)
    async with open_peer_link(codec, '127.0.0.1', 0) as link:
        send(link, receiving_link, message)
        yield
