"""The interface between attempts and an endpoint's protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import PollEndpoint, SendOrder, StartAttempt
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.http_request import HttpRequest
    from savorychute.inputs import Input, LoadReported, OrderFinished


class ResponseReader(Protocol):
    """Converts one attempt's HTTP response into inputs of the instance.

    ``closed`` is true after the input that ends the attempt.
    """

    closed: bool

    def read_head(self, status: int, headers: dict[str, str]) -> Sequence[Input]:
        """Return the inputs that result from the response's head."""
        ...

    def read_data(self, data: bytes) -> Sequence[Input]:
        """Return the inputs that result from a part of the body."""
        ...

    def read_end(self) -> Sequence[Input]:
        """Return the inputs that result from the end of a complete response."""
        ...

    def read_failure(self, failure: CallFailure) -> Sequence[Input]:
        """Return the inputs that result from a failed call."""
        ...


class Dialect(Protocol):
    """The protocol of one kind of endpoint; stateless."""

    def build_attempt(
        self, start: StartAttempt, passed_headers: Sequence[tuple[str, str]]
    ) -> HttpRequest:
        """Return the request that starts or resumes an attempt.

        :param start: the attempt.
        :param passed_headers: the caller's headers that may be passed to the endpoint.
        """
        ...

    def make_reader(self, start: StartAttempt) -> ResponseReader:
        """Return the reader of the attempt's response."""
        ...

    def needs_fresh_connection(self, start: StartAttempt) -> bool:
        """Return whether the attempt must not reuse an idle connection."""
        ...

    def build_cancel(self, start: StartAttempt, keep: bool) -> HttpRequest | None:
        """Return the request that stops an attempt, or None if closing suffices."""
        ...

    def build_poll(self, poll: PollEndpoint) -> HttpRequest | None:
        """Return the request for a load report, or None if it is not supported."""
        ...

    def read_load(self, endpoint: str, body: bytes) -> LoadReported | None:
        """Return the load report, or None if it is malformed."""
        ...

    def build_order(self, order: SendOrder) -> HttpRequest | None:
        """Return the request that sends an order, or None if it is not supported."""
        ...

    def read_order(self, order: SendOrder, status: int, body: bytes) -> OrderFinished:
        """Return the outcome of an order."""
        ...


DIALECTS: Registry[Dialect] = Registry('dialect')
