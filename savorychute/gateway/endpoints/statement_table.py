"""Statements of endpoints about themselves, by run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.endpoints.backoff_times import BackoffTimes
from savorychute.gateway.endpoints.endpoint_statement import StatementKind
from savorychute.gateway.endpoints.leaving_runs import LeavingRuns
from savorychute.gateway.endpoints.limit_table import LimitTable

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement


class StatementListener(Protocol):
    """Receives statements that change something."""

    def limit_stated(self, run: EndpointRun, limit_per_s: float | None) -> None:
        """Handle a changed limit, None for its end."""
        ...

    def leaving_stated(self, run: EndpointRun) -> None:
        """Handle the statement that a run is leaving."""
        ...

    def backoff_stated(self, run: EndpointRun, backoff_ms: int) -> None:
        """Handle a run's statement that it accepts no requests for some time."""
        ...


class StatementTable:
    """Holds what endpoints stated in responses and load reports, for use before each call.

    :param listener: is notified of changes.
    """

    def __init__(self, listener: StatementListener) -> None:
        self.limits = LimitTable(listener.limit_stated)
        self.leaving = LeavingRuns(listener.leaving_stated)
        self.backoffs = BackoffTimes(listener.backoff_stated)

    def apply(
        self, run: EndpointRun, statement: EndpointStatement, sent_ms: int, now_ms: int
    ) -> None:
        """Apply the statements of a response.

        :param run: the run of the endpoint that responded.
        :param statement: its statements.
        :param sent_ms: when the call was sent.
        :param now_ms: the current time.
        """
        if statement.limit_per_s is not None:
            self.limits.record_limit(run, statement.limit_per_s, now_ms)
        elif not statement.is_unreadable(StatementKind.LIMIT):
            self.limits.record_no_limit(run, sent_ms)
        if statement.leaving:
            self.leaving.record_leaving(run, now_ms)
        if statement.backoff_ms:
            self.backoffs.record_backoff(run, statement.backoff_ms, now_ms)
