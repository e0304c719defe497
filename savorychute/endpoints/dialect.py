"""The port between attempts and an endpoint's protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import PollEndpoint, SendOrder, StartAttempt
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.http_request import HttpRequest
    from savorychute.inputs import Input, LoadReported, OrderFinished


class AnswerReader(Protocol):
    """Turns one attempt's HTTP response into inputs of the instance.

    ``closed`` is true after the input that ends the attempt.
    """

    closed: bool

    def read_head(self, status: int, headers: dict[str, str]) -> Sequence[Input]:
        """Return the inputs that the response's head brings."""
        ...

    def read_data(self, data: bytes) -> Sequence[Input]:
        """Return the inputs that a part of the body brings."""
        ...

    def read_end(self) -> Sequence[Input]:
        """Return the inputs that the end of a whole response brings."""
        ...

    def read_failure(self, failure: CallFailure) -> Sequence[Input]:
        """Return the inputs that a failed call brings."""
        ...


class Dialect(Protocol):
    """One kind of endpoint; holds no state of its own."""

    def build_attempt(
        self, start: StartAttempt, passed: Sequence[tuple[str, str]]
    ) -> HttpRequest:
        """Return the request that starts or resumes an attempt.

        :param start: the attempt.
        :param passed: headers of the caller that may go on to the endpoint.
        """
        ...

    def make_reader(self, start: StartAttempt) -> AnswerReader:
        """Return the reader of the attempt's response."""
        ...

    def needs_fresh_connection(self, start: StartAttempt) -> bool:
        """Return whether a kept connection is too great a risk."""
        ...

    def build_cancel(self, start: StartAttempt, keep: bool) -> HttpRequest | None:
        """Return the request that stops an attempt, if closing is not enough."""
        ...

    def build_poll(self, poll: PollEndpoint) -> HttpRequest | None:
        """Return the request for a load report, if there are any."""
        ...

    def read_load(self, endpoint: str, body: bytes) -> LoadReported | None:
        """Return the load report, or none if it cannot be read."""
        ...

    def build_order(self, order: SendOrder) -> HttpRequest | None:
        """Return the request that carries an order, if orders are taken."""
        ...

    def read_order(self, order: SendOrder, status: int, body: bytes) -> OrderFinished:
        """Return the outcome of an order."""
        ...


DIALECTS: Registry[Dialect] = Registry('dialect')
