"""Logs and metrics of endpoints that state limits, and of calls to them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from savorychute.gateway.log_identifier import make_identifier
from savorychute.gateway.permits.permit import Denial
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.endpoints.endpoint_statement import (
        StatementKind,
        UnreadableStatement,
    )
    from savorychute.gateway.permits.permit import PermitOutcome
    from savorychute.gateway.requests.endpoint_response import Disbelief
    from savorychute.gateway.telemetry import GatewayTelemetry

# How many logged unreadable statements are remembered; each response may repeat one.
MAX_REMEMBERED_STATEMENTS = 256


class CallKind(Enum):
    """The purpose of a call to an endpoint.

    ``RETURN`` continues a run at the engine where it stopped, ``COPY`` copies the memory
    of a run or frees the copy.
    """

    ATTEMPT = 'attempt'
    REPORT = 'report'
    RETURN = 'return'
    COPY = 'copy'


class EndpointTelemetry:
    """Logs what endpoints state about themselves, and the calls that this limits.

    :param telemetry: writes the lines and metrics.
    """

    def __init__(self, telemetry: GatewayTelemetry) -> None:
        self._telemetry = telemetry
        self._logged_unreadable: dict[tuple[EndpointRun, StatementKind], None] = {}

    def limit_stated(self, run: EndpointRun, limit_per_s: float | None) -> None:
        """Log that an endpoint states a different limit, or no longer states one."""
        self._telemetry.write(
            LogLevel.WARNING,
            'limit-stated',
            '',
            endpoint=run.endpoint,
            state='ended' if limit_per_s is None else 'limited',
            limit_per_s=limit_per_s,
        )

    def leaving_stated(self, run: EndpointRun) -> None:
        """Log that an endpoint states that it is leaving."""
        self._telemetry.write(
            LogLevel.WARNING, 'leaving-stated', '', endpoint=run.endpoint
        )

    def backoff_stated(self, run: EndpointRun, backoff_ms: int) -> None:
        """Log that an endpoint requests a backoff from this instance."""
        self._telemetry.metrics.count('rests_total')
        self._telemetry.write(
            LogLevel.WARNING,
            'rest-stated',
            '',
            endpoint=run.endpoint,
            retry_after_ms=backoff_ms,
        )

    def statement_unreadable(
        self, run: EndpointRun, statement: UnreadableStatement
    ) -> None:
        """Log an unreadable statement, once for each run and kind."""
        logged_key = (run, statement.kind)
        if logged_key in self._logged_unreadable:
            return
        self._logged_unreadable[logged_key] = None
        if len(self._logged_unreadable) > MAX_REMEMBERED_STATEMENTS:
            self._logged_unreadable.pop(next(iter(self._logged_unreadable)))
        self._telemetry.write(
            LogLevel.WARNING,
            'statement-unreadable',
            '',
            endpoint=run.endpoint,
            item=statement.kind.value,
            reason=make_identifier(statement.text),
        )

    def response_disbelieved(
        self, endpoint: EndpointEntry, disbelief: Disbelief
    ) -> None:
        """Count a response that is not believed; the line of its attempt has more."""
        self._telemetry.metrics.count(
            'responses_disbelieved_total',
            service=endpoint.service,
            reason=disbelief.value,
        )

    def limited_call(
        self,
        endpoint: EndpointEntry,
        kind: CallKind,
        limit_per_s: float,
        request_id: str = '',
    ) -> None:
        """Log a call to an endpoint that states a limit."""
        self._telemetry.metrics.count(
            'limited_calls_total', service=endpoint.service, kind=kind.value
        )
        self._telemetry.write(
            LogLevel.INFO,
            'limited-call',
            request_id,
            endpoint=endpoint.endpoint,
            service=endpoint.service,
            item=kind.value,
            limit_per_s=limit_per_s,
        )

    def permit_decided(
        self, request_id: str, run: EndpointRun, rank: int, outcome: PermitOutcome
    ) -> None:
        """Log whether a permit was granted for an endpoint that states a limit."""
        wait_ms = outcome.wait_ms if isinstance(outcome, Denial) else 0
        state = 'denied' if wait_ms else 'granted'
        self._telemetry.metrics.count('permits_total', outcome=state)
        self._telemetry.write(
            LogLevel.INFO,
            'permit-decided',
            request_id,
            endpoint=run.endpoint,
            rank=rank,
            state=state,
            retry_after_ms=wait_ms,
        )
