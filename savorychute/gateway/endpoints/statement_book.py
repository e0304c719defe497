"""What endpoints have said of themselves, by run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.endpoints.endpoint_statement import StatementKind
from savorychute.gateway.endpoints.leaving_runs import LeavingRuns
from savorychute.gateway.endpoints.limit_book import LimitBook
from savorychute.gateway.endpoints.rest_times import RestTimes

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement


class StatementListener(Protocol):
    """Who is told of statements that change something."""

    def limit_stated(self, run: EndpointRun, limit_per_s: float | None) -> None:
        """Take in another limit, None for its end."""
        ...

    def leaving_stated(self, run: EndpointRun) -> None:
        """Take in that a run leaves."""
        ...

    def rest_stated(self, run: EndpointRun, rest_ms: int) -> None:
        """Take in that a run wants nothing of this instance for some time."""
        ...


class StatementBook:
    """Fed by each answer and each load report, asked before each call.

    :param listener: is told of what changes.
    """

    def __init__(self, listener: StatementListener) -> None:
        self.limits = LimitBook(listener.limit_stated)
        self.leaving = LeavingRuns(listener.leaving_stated)
        self.rests = RestTimes(listener.rest_stated)

    def take(
        self, run: EndpointRun, statement: EndpointStatement, sent_ms: int, now_ms: int
    ) -> None:
        """Take in what an answer states.

        :param run: of the endpoint that answered.
        :param statement: what it said.
        :param sent_ms: when the call was sent.
        :param now_ms: the time.
        """
        if statement.limit_per_s is not None:
            self.limits.state(run, statement.limit_per_s, now_ms)
        elif not statement.is_unreadable(StatementKind.LIMIT):
            self.limits.end(run, sent_ms)
        if statement.leaving:
            self.leaving.state(run, now_ms)
        if statement.rest_ms:
            self.rests.state(run, statement.rest_ms, now_ms)
