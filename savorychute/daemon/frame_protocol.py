"""Receiving length-prefixed frames over TCP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from savorychute.wire.message_codec import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

LENGTH_BYTES = 4
RECEIVERS_BOUND = 64
IDLE_S = 30.0


class FrameProtocol(asyncio.Protocol):
    """One accepted connection of a peer, or of a stranger.

    Before a frame is whole nobody knows who sends it, so the connections are
    few, a frame is bounded, and one that does not arrive in time is given up.

    :param on_frame: called with each whole frame.
    :param others: all open connections.
    """

    def __init__(
        self, on_frame: Callable[[bytes], None], others: set[FrameProtocol]
    ) -> None:
        self._on_frame = on_frame
        self._others = others
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, unless there are too many."""
        self._transport = cast('asyncio.Transport', transport)
        if len(self._others) >= RECEIVERS_BOUND:
            self._transport.abort()
            return
        self._others.add(self)
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Forget the connection."""
        self._others.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Take bytes and hand over the frames that they complete."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], 'big')
            if length > MAX_FRAME_BYTES:
                self.close()
                return
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[LENGTH_BYTES:end])
            del self._buffer[:end]
            self._restart_timer()
            self._on_frame(frame)

    def close(self) -> None:
        """Cut the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(IDLE_S, self.close)
