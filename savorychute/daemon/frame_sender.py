"""Sends length-prefixed frames over TCP."""

from __future__ import annotations

import asyncio
from collections import deque

from savorychute.daemon.frame_protocol import LENGTH_BYTES

MAX_QUEUED_FRAMES = 64
MAX_QUEUED_BYTES = 2 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 5.0
CONNECTION_IDLE_S = 10.0


class FrameSender:
    """A bounded queue of frames for one peer.

    The connection and its task exist only while they are needed.

    :param host: the IP address of the peer.
    :param port: the port of the peer.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._frames: deque[bytes] = deque()
        self._queued_bytes = 0
        self._frame_queued = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing is queued and no connection is open."""
        return self._task is None or self._task.done()

    def send(self, frame: bytes) -> bool:
        """Queue a frame; return false if the queue is full.

        :param frame: the signed bytes.
        """
        size_bytes = len(frame)
        full = len(self._frames) >= MAX_QUEUED_FRAMES
        if full or self._queued_bytes + size_bytes > MAX_QUEUED_BYTES:
            return False
        self._frames.append(frame)
        self._queued_bytes += size_bytes
        self._frame_queued.set()
        if self.idle:
            self._task = asyncio.get_running_loop().create_task(self._run())
        return True

    def close(self) -> None:
        """Drop the queued frames and close the connection."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(self._host, self._port)
        except (OSError, TimeoutError):
            self._clear()
            return
        try:
            while await self._wait_for_frame():
                await self._write_queued(writer)
        except (OSError, TimeoutError):
            self._clear()
        finally:
            writer.transport.abort()

    async def _wait_for_frame(self) -> bool:
        try:
            async with asyncio.timeout(CONNECTION_IDLE_S):
                await self._frame_queued.wait()
        except TimeoutError:
            # A frame may have been queued after the timeout expired.
            return bool(self._frames)
        return True

    async def _write_queued(self, writer: asyncio.StreamWriter) -> None:
        while self._frames:
            frame = self._frames.popleft()
            self._queued_bytes -= len(frame)
            writer.write(len(frame).to_bytes(LENGTH_BYTES, 'big') + frame)
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await writer.drain()
        self._frame_queued.clear()

    def _clear(self) -> None:
        self._frames.clear()
        self._queued_bytes = 0
        self._frame_queued.clear()
