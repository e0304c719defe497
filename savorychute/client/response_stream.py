"""A response that is read while it arrives."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorychute.http.call_failure import CallFailure
    from savorychute.http.client_call import ClientCall

MAX_UNREAD_BYTES = 64 * 1024


class ResponseBrokenError(SavorychuteError):
    """A call ended without a complete response.

    :param failure: whether a byte was sent, and the reason.
    """

    code = ResultCode.ANSWER_TRUNCATED

    def __init__(self, failure: CallFailure) -> None:
        super().__init__(failure.reason)
        self.sent = failure.sent


class ResponseStream:
    """A response handler whose head and parts can be awaited.

    Beyond a maximum of unread bytes, reading of the connection pauses, so that a
    slow reader applies back-pressure instead of filling its own memory.

    :param deadline_s: the time of the event loop at which every wait ends.
    """

    def __init__(self, deadline_s: float) -> None:
        self._deadline_s = deadline_s
        self.status = 0
        self.headers: dict[str, str] = {}
        self.call: ClientCall | None = None
        self._parts: deque[bytes] = deque()
        self._unread_bytes = 0
        self._paused = False
        self._ended = False
        self._failure: CallFailure | None = None
        self._changed = asyncio.Event()

    async def wait_for_head(self) -> None:
        """Wait until the status and headers have arrived.

        :raises ResponseBrokenError: if the call fails before.
        :raises TimeoutError: if they do not arrive in time.
        """
        while not self.status:
            await self._wait_for_change()

    async def read_parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises ResponseBrokenError: if the call fails before its end.
        :raises TimeoutError: if the end does not arrive in time.
        """
        while True:
            while self._parts:
                yield self._next_part()
            if self._ended:
                return
            await self._wait_for_change()

    async def read_body(self) -> bytes:
        """Return the complete body.

        :raises ResponseBrokenError: if the call fails before its end.
        """
        return b''.join([part async for part in self.read_parts()])

    def close(self) -> None:
        """Stop reading; if the response is incomplete, its connection is aborted."""
        if self.call is not None and not self._ended:
            self.call.cancel()

    def about_to_send(self) -> bool:
        """Allow the request to be sent; an unwanted call was cancelled before."""
        return True

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Store the head."""
        self.status = status
        self.headers = headers
        self._changed.set()

    def response_data(self, data: bytes) -> None:
        """Store a part."""
        self._parts.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and self.call is not None:
            self._paused = True
            self.call.pause_reading()
        self._changed.set()

    def response_ended(self) -> None:
        """Record the end."""
        self._ended = True
        self._changed.set()

    def call_failed(self, failure: CallFailure) -> None:
        """Record the failure; parts that arrived before can still be read."""
        self._failure = failure
        self._changed.set()

    def _next_part(self) -> bytes:
        part = self._parts.popleft()
        self._unread_bytes -= len(part)
        if self._paused and self._unread_bytes <= MAX_UNREAD_BYTES and self.call:
            self._paused = False
            self.call.resume_reading()
        return part

    async def _wait_for_change(self) -> None:
        if self._failure is not None:
            raise ResponseBrokenError(self._failure)
        async with asyncio.timeout_at(self._deadline_s):
            await self._changed.wait()
        self._changed.clear()
