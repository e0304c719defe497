"""What a caller has received, and how its response can still end."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.requests.caller_guard import name_unknown_outcome
from savorychute.gateway.requests.stream_relay import StreamRelay

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.gateway.requests.caller_guard import CallerGuard
    from savorychute.gateway.requests.endpoint_response import EndpointResponse
    from savorychute.gateway.requests.refusal import Refusal
    from savorychute.result_code import ResultCode


class FinalOutcome(NamedTuple):
    """How a response ended, for the log; ``status`` is 0 for an aborted one."""

    outcome: str
    status: int = 0


class CallerResponse:
    """Forwards the responses of endpoints to one caller.

    Once a caller has received a part of a response, its status cannot change any more:
    either the rest follows, or the response is aborted so that it cannot be mistaken for
    a complete one.

    :param caller: the caller's connection.
    :param last_event: the id of the last event that the caller has already received.
    :param on_begin: called before the first event of a stream is forwarded.
    :param max_events: the most events that one endpoint may send; None for any number.
    """

    def __init__(
        self,
        caller: CallerGuard,
        last_event: str,
        on_begin: Callable[[], None],
        max_events: int | None = None,
    ) -> None:
        self._caller = caller
        self.relay = StreamRelay(caller, last_event, on_begin, max_events)
        self.forwarding = False

    @property
    def started(self) -> bool:
        """Whether the caller has received a part of a response."""
        return self.relay.started or self.forwarding

    def forward_head(
        self, response: EndpointResponse, buffered: Sequence[bytes]
    ) -> None:
        """Start to forward a response that is too large to be buffered.

        :param response: the head of the response.
        :param buffered: the parts of its body received so far.
        """
        self.forwarding = True
        self._caller.start(response.status, response.headers)
        self._caller.send(b''.join(buffered))

    def forward_data(self, data: bytes) -> None:
        """Forward a further part of the response body."""
        self._caller.send(data)

    def complete(self, response: EndpointResponse, buffered: Sequence[bytes]) -> None:
        """End a successful response after its last byte.

        :param response: the head of the response.
        :param buffered: the parts of its body that were not forwarded.
        """
        if self.forwarding:
            self._caller.finish()
        elif not response.is_stream:
            self._caller.respond(response.status, response.headers, b''.join(buffered))
        else:
            if not self.relay.started:
                self._caller.start(response.status, response.headers)
            self._caller.finish()

    def fail(
        self, response: EndpointResponse, buffered: Sequence[bytes]
    ) -> FinalOutcome:
        """Forward an endpoint's failure, unless its status is a promise.

        :param response: the head of the response.
        :param buffered: its body.
        """
        status = response.status
        if self.forwarding:
            self._caller.finish()
        elif self.started:
            self._caller.abort()
        else:
            sent = self._caller.respond(status, response.headers, b''.join(buffered))
            if sent != status:
                return FinalOutcome(name_unknown_outcome(status), sent)
        return FinalOutcome('endpoint-failed', status)

    def abandon(self, not_run: Refusal, unknown: ResultCode) -> FinalOutcome:
        """End without a response of an endpoint, and state only what is known.

        :param not_run: the refusal to send if the request cannot have run.
        :param unknown: the code to send if the request may have run.
        """
        reason = not_run.reason
        if self.started:
            self._caller.abort()
            return FinalOutcome(f'cut-{reason}')
        return FinalOutcome(reason, self._caller.refuse(not_run, unknown))
