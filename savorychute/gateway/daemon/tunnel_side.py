"""One of the two connections of a tunnel."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import cast

# Bytes that are buffered for a side that does not read; then the other is paused.
BUFFER_BYTES = 32 * 1024
# Bytes that are received at once; a side may hold one part more than that.
PART_BYTES = 32 * 1024
# Closes a socket with a reset, and without waiting.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


# Shared by all connections: the bytes are copied from it before the next ones arrive.
_RECEIVED = bytearray(PART_BYTES)


class TunnelSide(asyncio.BufferedProtocol):
    """Passes bytes on to the other side, and stops reading while that is full."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        # None until the tunnel is open.
        self.other: TunnelSide | None = None
        # Bytes that were passed to this side.
        self.passed_bytes = 0

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and limit what is buffered."""
        self._transport = cast('asyncio.Transport', transport)
        self._transport.set_write_buffer_limits(high=BUFFER_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return where the next bytes are received."""
        return memoryview(_RECEIVED)

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that were received."""
        self.data_received(bytes(memoryview(_RECEIVED)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        if self.other is not None:
            self.other.write(data)

    def pause_writing(self) -> None:
        """Stop reading from the other side while this one does not read."""
        if self.other is not None:
            self.other.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from the other side."""
        if self.other is not None:
            self.other.resume_reading()

    # -- called by the other side

    @property
    def is_open(self) -> bool:
        """Whether bytes can be written."""
        return self._transport is not None and not self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection is closing."""
        if self._transport is not None and self.is_open:
            self.passed_bytes += len(data)
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Stop reading."""
        if self._transport is not None and self.is_open:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        if self._transport is not None and self.is_open:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection in order, after all that was written."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is None or not self.is_open:
            return
        raw_socket = self._transport.get_extra_info('socket')
        if raw_socket is not None:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()
