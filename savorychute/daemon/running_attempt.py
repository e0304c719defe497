"""One attempt in progress."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.endpoints.refusals import ATTEMPT_ID_HEADER, belongs_to
from savorychute.http.call_failure import CallFailure
from savorychute.http.client_pool import ServerAddress
from savorychute.inputs import AttemptSent

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.actions import StartAttempt
    from savorychute.daemon.host_port import InputPort
    from savorychute.daemon.naming_table import NamingTable
    from savorychute.endpoints import Dialect
    from savorychute.http.client_call import ClientCall
    from savorychute.inputs import Input

MS_PER_S = 1_000
FORWARDED_RESPONSE_HEADERS = (
    'cache-control',
    'content-disposition',
    'etag',
    'last-modified',
    'location',
)


class RunningAttempt:
    """Converts the events of one HTTP call to inputs of the instance.

    :param start: describes the attempt.
    :param dialect: the endpoint's protocol.
    :param host: receives the inputs for the instance.
    :param naming: whether endpoints name the request in their responses.
    :param on_end: called when the attempt has ended.
    """

    __slots__ = (
        '_ended',
        '_host',
        '_naming',
        '_on_end',
        '_reader',
        '_timer',
        'call',
        'dialect',
        'forwarded_headers',
        'paused',
        'start',
    )

    def __init__(
        self,
        start: StartAttempt,
        dialect: Dialect,
        host: InputPort,
        naming: NamingTable,
        on_end: Callable[[RunningAttempt], None],
    ) -> None:
        self.start = start
        self.dialect = dialect
        self.paused = False
        self.forwarded_headers: tuple[tuple[str, str], ...] = ()
        self.call: ClientCall | None = None
        self._host = host
        self._naming = naming
        self._on_end = on_end
        self._reader = dialect.make_reader(start)
        self._ended = False
        self._timer: asyncio.TimerHandle | None = None

    def start_timer(self) -> None:
        """Start the timeout of the whole attempt."""
        loop = asyncio.get_running_loop()
        delay_s = self.start.timeout_ms / MS_PER_S
        self._timer = loop.call_later(delay_s, self._time_out)

    def stop(self) -> bool:
        """Cancel the call; return whether a byte of the request was sent."""
        sent = self.call is not None and self.call.sent
        self._finish()
        if self.call is not None:
            self.call.cancel()
        return sent

    def pause(self) -> None:
        """Stop reading the response."""
        self.paused = True
        if self.call is not None:
            self.call.pause_reading()

    def resume(self) -> None:
        """Resume reading the response."""
        self.paused = False
        if self.call is not None:
            self.call.resume_reading()

    def about_to_send(self) -> bool:
        """Notify the instance; if it cancels the attempt, nothing is sent."""
        self._host.deliver(AttemptSent(self.start.attempt_id))
        return not self._ended

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Deliver the head, unless the response belongs to another request."""
        if not self._is_own(headers):
            # The response to this request is still to come, and would be taken for the
            # one to the next request.
            self._abandon('response to another request')
            return
        self.forwarded_headers = tuple(
            (name, headers[name])
            for name in FORWARDED_RESPONSE_HEADERS
            if name in headers
        )
        self._deliver(self._reader.read_head(status, headers))

    def response_data(self, data: bytes) -> None:
        """Deliver a part of the body."""
        self._deliver(self._reader.read_data(data))

    def response_ended(self) -> None:
        """Deliver the end of the body."""
        self._deliver(self._reader.read_end())

    def call_failed(self, failure: CallFailure) -> None:
        """Deliver the failure."""
        self._deliver(self._reader.read_failure(failure))

    def _deliver(self, inputs: Sequence[Input]) -> None:
        for new_input in inputs:
            if self._ended:
                return
            self._host.deliver(new_input)
        if self._reader.closed:
            self._finish()

    def _finish(self) -> None:
        if self._ended:
            return
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        self._on_end(self)

    def _is_own(self, headers: dict[str, str]) -> bool:
        start = self.start
        is_named = bool(headers.get(ATTEMPT_ID_HEADER))
        self._naming.record(ServerAddress(start.host, start.port), is_named)
        calls_before = self.call.calls_before if self.call is not None else 0
        return belongs_to(start.attempt_id, headers, calls_before)

    def _time_out(self) -> None:
        self._abandon('timeout')

    def _abandon(self, reason: str) -> None:
        """Abort the connection, and deliver the failure."""
        sent = self.call is not None and self.call.sent
        if self.call is not None:
            self.call.cancel()
        self.call_failed(CallFailure(sent=sent, broken=False, reason=reason))
