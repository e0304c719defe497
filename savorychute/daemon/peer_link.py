"""Messages between instances.

A frame that fits into one unfragmented packet goes by UDP: probes and grants
are small, each matters only for a moment, and a slow or dead peer holds up no
other.  A larger one, such as a configuration snapshot, goes by TCP with a
length in front, over a connection that is opened when it is needed and closed
when it is not.  Both use the same port number.  Nothing here waits: what does
not fit into a peer's bounded queue is dropped, and the parts send anew what
still matters.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.daemon.frame_protocol import FrameProtocol
from savorychute.daemon.frame_sender import FrameSender
from savorychute.errors import MessageError, SignatureError
from savorychute.inputs import PeerReceived

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from savorychute.actions import SendPeer
    from savorychute.inputs import Input
    from savorychute.wire.peer_codec import PeerCodec

DATAGRAM_BYTES = 1_200
SENDERS_KEPT = 256
PORT_TRIES = 20


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives peer messages.

    :param codec: signs and checks frames.
    """

    def __init__(self, codec: PeerCodec) -> None:
        self.port = 0
        self.sent_bytes = 0
        self.dropped = 0
        self.rejected = 0
        self.on_input: Callable[[Input], None] | None = None
        self._codec = codec
        self._datagrams: asyncio.DatagramTransport | None = None
        self._datagrams_paused = False
        self._senders: dict[tuple[str, int], FrameSender] = {}
        self._receivers: set[FrameProtocol] = set()

    @property
    def open_receivers(self) -> int:
        """How many connections of peers, or of strangers, are open."""
        return len(self._receivers)

    def send(self, action: SendPeer) -> None:
        """Send a message without any guarantee.

        :param action: whom to send what.
        """
        try:
            frame = self._codec.encode(action.instance, action.message)
        except MessageError:
            self.dropped += 1
            return
        address = (action.host, action.peer_port)
        self.sent_bytes += len(frame)
        if len(frame) <= DATAGRAM_BYTES:
            self._send_datagram(frame, address)
        elif not self._find_sender(address).send(frame):
            self.dropped += 1

    def datagram_received(
        self,
        data: bytes,
        addr: tuple[str | int, ...],  # noqa: ARG002
    ) -> None:
        """Take a datagram; who sent it is in its signed frame."""
        self.take_frame(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's port was closed; its silence tells enough."""

    def pause_writing(self) -> None:
        """Drop datagrams from now on; the host's network takes no more."""
        self._datagrams_paused = True

    def resume_writing(self) -> None:
        """Send datagrams again."""
        self._datagrams_paused = False

    def take_frame(self, frame: bytes) -> None:
        """Deliver a frame if it is authentic and new.

        :param frame: bytes from anywhere on the network.
        """
        try:
            decoded = self._codec.decode(frame)
        except (MessageError, SignatureError):
            self.rejected += 1
            return
        if self.on_input is not None:
            self.on_input(PeerReceived(decoded.sender, decoded.message))

    def close(self) -> None:
        """Close every connection."""
        if self._datagrams is not None:
            self._datagrams.close()
        for sender in self._senders.values():
            sender.close()
        for receiver in tuple(self._receivers):
            receiver.close()

    def use(self, transport: asyncio.DatagramTransport) -> None:
        """Send datagrams by *transport*."""
        self._datagrams = transport

    def make_receiver(self) -> FrameProtocol:
        """Return the protocol of an accepted connection."""
        return FrameProtocol(self.take_frame, self._receivers)

    def _send_datagram(self, frame: bytes, address: tuple[str, int]) -> None:
        transport = self._datagrams
        if transport is None or transport.is_closing():
            return
        if self._datagrams_paused:
            self.dropped += 1
            return
        transport.sendto(frame, address)

    def _find_sender(self, address: tuple[str, int]) -> FrameSender:
        sender = self._senders.get(address)
        if sender is not None:
            return sender
        if len(self._senders) >= SENDERS_KEPT:
            self._drop_idle_senders()
        sender = FrameSender(*address)
        self._senders[address] = sender
        return sender

    def _drop_idle_senders(self) -> None:
        idle = [key for key, sender in self._senders.items() if sender.idle]
        for key in idle:
            del self._senders[key]


@asynccontextmanager
async def open_peer_link(
    codec: PeerCodec, host: str, port: int
) -> AsyncIterator[PeerLink]:
    """Listen for peers, by UDP and TCP on one port number.

    :param codec: signs and checks frames.
    :param host: the IP number to listen on.
    :param port: the port, or 0 for one of the system's choice.
    """
    link = PeerLink(codec)
    listener = await _bind(link, host, port)
    try:
        yield link
    finally:
        listener.close()
        link.close()


async def _bind(link: PeerLink, host: str, port: int) -> asyncio.Server:
    """Bind TCP, then UDP to the same number, which may be taken."""
    loop = asyncio.get_running_loop()
    for attempt in range(PORT_TRIES):
        listener = await loop.create_server(link.make_receiver, host, port)
        bound = listener.sockets[0].getsockname()[1]
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: link, local_addr=(host, bound)
            )
        except OSError:
            listener.close()
            if port or attempt == PORT_TRIES - 1:
                raise
            continue
        link.use(transport)
        link.port = bound
        return listener
    raise OSError('no port is free for both TCP and UDP')
