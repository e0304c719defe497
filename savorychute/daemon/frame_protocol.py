"""Receives length-prefixed frames over TCP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from savorychute.wire.message_codec import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

LENGTH_BYTES = 4
MAX_RECEIVERS = 64
FRAME_TIMEOUT_S = 30.0
# Parts of frames that all connections hold together.
MAX_UNFINISHED_BYTES = 4 * 1024 * 1024


class FrameProtocol(asyncio.Protocol):
    """One accepted connection, whose sender is not authenticated yet.

    The sender is unknown until a frame is complete.  So the number of connections
    and the size of a frame are limited, and the connection is closed if a frame
    does not arrive in time.  One that has sent no authentic frame yields its place.

    :param on_frame: called with each complete frame; returns whether it is authentic.
    :param connections: all open connections, the oldest first.
    """

    def __init__(
        self,
        on_frame: Callable[[bytes], bool],
        connections: dict[FrameProtocol, None],
    ) -> None:
        self._on_frame = on_frame
        self._connections = connections
        self._is_authentic = False
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, unless authentic senders have all places."""
        self._transport = cast('asyncio.Transport', transport)
        if len(self._connections) >= MAX_RECEIVERS and not self._close_stranger():
            self._transport.abort()
            return
        self._connections[self] = None
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Remove the connection."""
        self._connections.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Process bytes and pass on the frames that they complete."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], 'big')
            if length > MAX_FRAME_BYTES:
                self.close()
                return
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                self._limit_unfinished()
                return
            frame = bytes(self._buffer[LENGTH_BYTES:end])
            del self._buffer[:end]
            self._restart_timer()
            self._is_authentic |= self._on_frame(frame)

    def _close_stranger(self) -> bool:
        """Close the oldest connection without an authentic frame, if there is one."""
        for connection in self._connections:
            if not connection._is_authentic:
                del self._connections[connection]
                connection.close()
                return True
        return False

    def _limit_unfinished(self) -> None:
        """Close the connections that hold the most, above the total limit."""
        held = sorted(self._connections, key=lambda each: len(each._buffer))
        held_bytes = sum(len(each._buffer) for each in held)
        while held_bytes > MAX_UNFINISHED_BYTES:
            largest = held.pop()
            held_bytes -= len(largest._buffer)
            largest.close()

    def close(self) -> None:
        """Abort the connection."""
        self._buffer.clear()
        if self._transport is not None:
            self._transport.abort()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(FRAME_TIMEOUT_S, self.close)
