"""Messages between instances.

A frame that fits into one unfragmented packet is sent by UDP: probes and grants
are small and soon obsolete, and a slow or dead peer does not delay the others.
A larger frame, such as a configuration snapshot, is sent by TCP with a length
prefix, over a connection that is opened on demand and closed when it is idle.
Both use the same port number.  Sending never blocks: a frame that does not fit
into a peer's bounded queue is dropped, and its sender repeats it if it is still
needed.
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

MAX_DATAGRAM_BYTES = 1_200
MAX_SENDERS = 256
PORT_ATTEMPTS = 20


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives peer messages.

    :param codec: signs and verifies frames.
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
        self._receivers: dict[FrameProtocol, None] = {}

    @property
    def open_receivers(self) -> int:
        """Number of open accepted connections, authenticated or not."""
        return len(self._receivers)

    def send(self, action: SendPeer) -> None:
        """Send a message without delivery guarantee.

        :param action: the recipient and the message.
        """
        try:
            frame = self._codec.encode(action.instance, action.message)
        except MessageError:
            self.dropped += 1
            return
        address = (action.host, action.peer_port)
        self.sent_bytes += len(frame)
        if len(frame) <= MAX_DATAGRAM_BYTES:
            self._send_datagram(frame, address)
        elif not self._get_sender(address).send(frame):
            self.dropped += 1

    def datagram_received(
        self,
        data: bytes,
        addr: tuple[str | int, ...],  # noqa: ARG002
    ) -> None:
        """Handle a datagram; its signed frame names the sender."""
        self.handle_frame(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore a closed port; the missing messages of the peer suffice to detect it."""

    def pause_writing(self) -> None:
        """Drop datagrams while the socket's send buffer is full."""
        self._datagrams_paused = True

    def resume_writing(self) -> None:
        """Resume sending datagrams."""
        self._datagrams_paused = False

    def handle_frame(self, frame: bytes) -> bool:
        """Deliver a frame if it is authentic and new; return whether it is.

        :param frame: untrusted bytes from the network.
        """
        try:
            decoded = self._codec.decode(frame)
        except (MessageError, SignatureError):
            self.rejected += 1
            return False
        if self.on_input is not None:
            self.on_input(PeerReceived(decoded.sender, decoded.message))
        return True

    def close(self) -> None:
        """Close all connections."""
        if self._datagrams is not None:
            self._datagrams.close()
        for sender in self._senders.values():
            sender.close()
        for receiver in tuple(self._receivers):
            receiver.close()

    def set_transport(self, transport: asyncio.DatagramTransport) -> None:
        """Set the transport that sends datagrams."""
        self._datagrams = transport

    def make_receiver(self) -> FrameProtocol:
        """Return the protocol for an accepted connection."""
        return FrameProtocol(self.handle_frame, self._receivers)

    def _send_datagram(self, frame: bytes, address: tuple[str, int]) -> None:
        transport = self._datagrams
        if transport is None or transport.is_closing():
            return
        if self._datagrams_paused:
            self.dropped += 1
            return
        transport.sendto(frame, address)

    def _get_sender(self, address: tuple[str, int]) -> FrameSender:
        sender = self._senders.get(address)
        if sender is not None:
            return sender
        if len(self._senders) >= MAX_SENDERS:
            self._remove_idle_senders()
        sender = FrameSender(*address)
        self._senders[address] = sender
        return sender

    def _remove_idle_senders(self) -> None:
        idle = [key for key, sender in self._senders.items() if sender.idle]
        for key in idle:
            del self._senders[key]


@asynccontextmanager
async def open_peer_link(
    codec: PeerCodec, host: str, port: int
) -> AsyncIterator[PeerLink]:
    """Listen for peers on one port number, by UDP and TCP.

    :param codec: signs and verifies frames.
    :param host: the IP address to listen on.
    :param port: the port, or 0 to let the system choose one.
    """
    link = PeerLink(codec)
    listener = await _bind(link, host, port)
    try:
        yield link
    finally:
        listener.close()
        link.close()


async def _bind(link: PeerLink, host: str, port: int) -> asyncio.Server:
    """Bind TCP, then UDP to the same port number, which may be in use."""
    loop = asyncio.get_running_loop()
    for attempt in range(PORT_ATTEMPTS):
        listener = await loop.create_server(link.make_receiver, host, port)
        bound_port = listener.sockets[0].getsockname()[1]
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: link, local_addr=(host, bound_port)
            )
        except OSError:
            listener.close()
            if port or attempt == PORT_ATTEMPTS - 1:
                raise
            continue
        link.set_transport(transport)
        link.port = bound_port
        return listener
    raise OSError('no port is free for both TCP and UDP')
