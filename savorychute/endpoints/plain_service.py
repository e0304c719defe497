"""Plain services, whose requests and responses are passed through unchanged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.endpoints.dialect import DIALECTS
from savorychute.endpoints.refusals import (
    describe_failure,
    describe_refusal,
    is_refusal,
)
from savorychute.http.http_request import HttpRequest
from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptStarted,
    OrderFinished,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import PollEndpoint, SendOrder, StartAttempt
    from savorychute.endpoints.dialect import ResponseReader
    from savorychute.http.call_failure import CallFailure
    from savorychute.inputs import Input, LoadReported

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')


class PlainService:
    """Sends requests with any method and path; offsets and counts are in bytes."""

    def build_attempt(
        self, start: StartAttempt, passed_headers: Sequence[tuple[str, str]]
    ) -> HttpRequest:
        """Return the caller's request.

        :param start: the attempt.
        :param passed_headers: the caller's headers that are passed on.
        """
        headers = [
            ('x-attempt-id', start.attempt_id),
            ('x-timeout-ms', str(start.timeout_ms)),
        ]
        return HttpRequest(
            start.method, start.path, (*headers, *passed_headers), start.body
        )

    def make_reader(self, start: StartAttempt) -> ResponseReader:
        """Return a reader that passes the response's bytes through.

        :param start: the attempt.
        """
        return PassthroughReader(start)

    def needs_fresh_connection(self, start: StartAttempt) -> bool:
        """Return True for calls that may change state.

        If the service closes an idle connection just as it is reused, the outcome of
        such a call is unknown although it did not run.

        :param start: the attempt.
        """
        return start.method not in SAFE_METHODS

    def build_cancel(
        self,
        start: StartAttempt,  # noqa: ARG002
        keep: bool,  # noqa: ARG002
    ) -> HttpRequest | None:
        """Return None, because closing the connection is the only way to cancel."""
        return None

    def build_poll(self, poll: PollEndpoint) -> HttpRequest | None:  # noqa: ARG002
        """Return None, because plain services do not report their load."""
        return None

    def read_load(
        self,
        endpoint: str,  # noqa: ARG002
        body: bytes,  # noqa: ARG002
    ) -> LoadReported | None:
        """Return None, because plain services do not report their load."""
        return None

    def build_order(self, order: SendOrder) -> HttpRequest | None:  # noqa: ARG002
        """Return None, because plain services do not accept orders."""
        return None

    def read_order(
        self,
        order: SendOrder,
        status: int,  # noqa: ARG002
        body: bytes,  # noqa: ARG002
    ) -> OrderFinished:
        """Return the outcome 'refused'."""
        return OrderFinished(order.order_id, order.endpoint, 'refused')


class PassthroughReader:
    """Passes a response through as it arrives.

    :param start: the attempt.
    """

    __slots__ = ('_offset', '_start', 'closed')

    def __init__(self, start: StartAttempt) -> None:
        self._start = start
        self._offset = 0
        self.closed = False

    def read_head(self, status: int, headers: dict[str, str]) -> Sequence[Input]:
        """Return the start of the response, or a refusal."""
        attempt_id = self._start.attempt_id
        if is_refusal(status, headers):
            self.closed = True
            return [describe_refusal(attempt_id, status, headers)]
        content_type = headers.get('content-type', 'application/octet-stream')
        return [AttemptStarted(attempt_id, status, content_type, '')]

    def read_data(self, data: bytes) -> Sequence[Input]:
        """Return the bytes with their offset."""
        if self.closed:
            return []
        offset = self._offset
        self._offset += len(data)
        return [AttemptChunk(self._start.attempt_id, offset, len(data), data)]

    def read_end(self) -> Sequence[Input]:
        """Return the end of a complete response."""
        if self.closed:
            return []
        self.closed = True
        return [AttemptEnded(self._start.attempt_id, self._offset)]

    def read_failure(self, failure: CallFailure) -> Sequence[Input]:
        """Return the failure, unless the attempt has already ended."""
        if self.closed:
            return []
        self.closed = True
        return [describe_failure(self._start.attempt_id, failure)]


DIALECTS.register('plain-service')(PlainService())
