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

UNREAD_BYTES = 64 * 1024


class ResponseBrokenError(SavorychuteError):
    """A call ended without a whole response.

    :param failure: whether a byte was sent, and why it failed.
    """

    code = ResultCode.ANSWER_TRUNCATED

    def __init__(self, failure: CallFailure) -> None:
        super().__init__(failure.reason)
        self.sent = failure.sent


class ResponseStream:
    """A handler whose head and parts are awaited.

    Beyond a bound of unread bytes the connection is read no more, so a slow
    reader slows the system down instead of filling its own memory.

    :param deadline_s: the loop's time after which every wait ends.
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
        """Wait until status and headers are there.

        :raises ResponseBrokenError: if they do not come.
        :raises TimeoutError: if they do not come in time.
        """
        while not self.status:
            await self._wait()

    async def read_parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        :raises ResponseBrokenError: if its end does not come.
        :raises TimeoutError: if it does not come in time.
        """
        while True:
            while self._parts:
                yield self._take_part()
            if self._ended:
                return
            await self._wait()

    async def read_whole(self) -> bytes:
        """Return the whole body.

        :raises ResponseBrokenError: if its end does not come.
        """
        return b''.join([part async for part in self.read_parts()])

    def close(self) -> None:
        """Stop; a response that is not whole costs its connection."""
        if self.call is not None and not self._ended:
            self.call.cancel()

    def about_to_send(self) -> bool:
        """Agree; whoever waits no longer has cancelled the call."""
        return True

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Keep the head."""
        self.status = status
        self.headers = headers
        self._changed.set()

    def response_data(self, data: bytes) -> None:
        """Keep a part."""
        self._parts.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > UNREAD_BYTES and self.call is not None:
            self._paused = True
            self.call.pause_reading()
        self._changed.set()

    def response_ended(self) -> None:
        """Note the end."""
        self._ended = True
        self._changed.set()

    def call_failed(self, failure: CallFailure) -> None:
        """Note the failure; what came before it can still be read."""
        self._failure = failure
        self._changed.set()

    def _take_part(self) -> bytes:
        part = self._parts.popleft()
        self._unread_bytes -= len(part)
        if self._paused and self._unread_bytes <= UNREAD_BYTES and self.call:
            self._paused = False
            self.call.resume_reading()
        return part

    async def _wait(self) -> None:
        if self._failure is not None:
            raise ResponseBrokenError(self._failure)
        async with asyncio.timeout_at(self._deadline_s):
            await self._changed.wait()
        self._changed.clear()
