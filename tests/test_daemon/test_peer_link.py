"""Tests of messages between instances over sockets."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from daemon_fakes import KEYS, wait_until

from savorychute.actions import SendPeer
from savorychute.daemon.frame_protocol import RECEIVERS_BOUND
from savorychute.daemon.frame_sender import QUEUE_FRAMES, FrameSender
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
    """Run *act* with a sending and a receiving link; return what arrived."""
    arrived = []

    async def main():
        sender = PeerCodec('i1', 1, KEYS)
        receiver = PeerCodec('i2', 1, keys)
        async with (
            open_peer_link(sender, '127.0.0.1', 0) as out,
            open_peer_link(receiver, '127.0.0.1', 0) as into,
        ):
            into.on_input = arrived.append
            await act(out, into, arrived)
        return arrived

    return asyncio.run(main())


def send(link, to, message):
    link.send(SendPeer('i2', '127.0.0.1', to.port, message))


def test_small_message_goes_by_datagram_and_a_large_one_by_connection():
    small = make_ping(1)
    large = make_ping(500)

    async def act(out, into, arrived):
        send(out, into, small)
        await wait_until(lambda: len(arrived) == 1)
        assert into.open_receivers == 0
        send(out, into, large)
        await wait_until(lambda: len(arrived) == 2)
        assert into.open_receivers == 1

    received = run_link(act)

    assert [each.sender for each in received] == ['i1', 'i1']
    assert [each.message for each in received] == [small, large]


def test_stranger_is_not_heard():
    """Stranger on the network.

    Somebody who can reach the peer port sends well-formed messages.  Without
    the key they are dropped and counted, by datagram and by connection.
    """

    async def act(out, into, arrived):
        send(out, into, make_ping(1))
        send(out, into, make_ping(500))
        await wait_until(lambda: into.rejected == 2)

    assert run_link(act, keys=OTHER_KEYS) == []


def test_garbage_on_the_peer_port_is_dropped():
    async def act(out, into, arrived):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b'garbage', ('127.0.0.1', into.port))
        reader, writer = await asyncio.open_connection('127.0.0.1', into.port)
        writer.write((MAX_FRAME_BYTES + 1).to_bytes(4, 'big') + b'a' * 10)
        with suppress(ConnectionResetError):
            assert await reader.read() == b''
        writer.close()
        await wait_until(lambda: into.rejected == 1)
        send(out, into, make_ping(0))
        await wait_until(lambda: arrived)

    assert len(run_link(act)) == 1


def test_unfinished_frames_are_few():
    """Many half frames.

    A stranger opens connection after connection and sends half a frame on
    each.  Only so many are open at once; the rest are closed.
    """

    async def act(out, into, arrived):
        writers = []
        for _ in range(RECEIVERS_BOUND + 5):
            _, writer = await asyncio.open_connection('127.0.0.1', into.port)
            writer.write(b'\0\0\1')
            writers.append(writer)
        await wait_until(lambda: into.open_receivers == RECEIVERS_BOUND)
        for writer in writers:
            writer.transport.abort()
        await wait_until(lambda: into.open_receivers == 0)

    assert run_link(act) == []


def test_queue_towards_a_silent_peer_is_bounded():
    async def main():
        sender = FrameSender('127.0.0.1', 9)
        accepted = [sender.send(b'x') for _ in range(QUEUE_FRAMES + 1)]
        sender.close()
        return accepted

    accepted = asyncio.run(main())

    assert accepted == [True] * QUEUE_FRAMES + [False]
