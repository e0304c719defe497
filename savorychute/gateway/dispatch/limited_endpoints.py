"""Endpoints that state limits, from the point of view of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.permits.permit import Permit

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.permits.permit import PermitOutcome
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.inbound_request import InboundRequest

# Maximum permits that a request asks for before an attempt, one after the other.
MAX_PERMIT_REQUESTS = 4


class LimitedEndpoints:
    """Requests permits, and tracks the endpoints that have none for this request.

    Engines whose stated limit is below the usual number of requests are the last
    resort: they serve requests for which other engines have no capacity or too long a
    wait.

    :param parts: state and ports shared by all requests.
    :param request: the request.
    :param admitted: its route, service and rank.
    """

    def __init__(
        self, parts: GatewayParts, request: InboundRequest, admitted: AdmittedRequest
    ) -> None:
        self._permits = parts.permits
        self._telemetry = parts.endpoint_telemetry
        self._request = request
        self._rank = admitted.rank
        self._runs_models = admitted.service.runs_models
        self._permit_requests = 0
        # Runs that denied a permit for the current attempt.
        self.denied: set[EndpointRun] = set()

    def is_limited(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint states a limit."""
        return self._permits.is_limited(record.entry.run)

    def is_last_resort(self, record: EndpointRecord, now_ms: int) -> bool:
        """Return whether an endpoint only gets requests that no other endpoint takes.

        An engine that is available to one request but not to the next would change the
        partitions and the homes of prompts.

        :param record: the endpoint.
        :param now_ms: the current time.
        """
        if not self.is_limited(record):
            return False
        if self._permit_requests >= MAX_PERMIT_REQUESTS:
            return True
        if self._runs_models:
            return self._permits.is_scarce(record.entry.run, now_ms)
        return not self._is_available(record, now_ms)

    def find_available(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        """Return the limited endpoints that can be asked for a permit.

        :param records: endpoints of the service.
        :param now_ms: the current time.
        """
        if self._permit_requests >= MAX_PERMIT_REQUESTS:
            return []
        limited = [each for each in records if self.is_limited(each)]
        return [each for each in limited if self._is_available(each, now_ms)]

    def find_unconfirmed(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        """Return the available endpoints whose limit was not confirmed recently.

        :param records: endpoints of the service.
        :param now_ms: the current time.
        """
        available = self.find_available(records, now_ms)
        return [
            each
            for each in available
            if self._permits.needs_confirmation(each.entry.run, now_ms)
        ]

    def _is_available(self, record: EndpointRecord, now_ms: int) -> bool:
        return not self.wait_ms(record, now_ms)

    def wait_ms(self, record: EndpointRecord, now_ms: int) -> int:
        """Return the time until an endpoint may accept the request, in ms.

        :param record: the endpoint.
        :param now_ms: the current time.
        """
        return self._permits.wait_ms(record.entry.run, self._rank, now_ms)

    def request_permit(
        self, choice: Choice, on_result: Callable[[Choice | None], None]
    ) -> None:
        """Request a permit.

        :param choice: the choice of a limited endpoint.
        :param on_result: called once, immediately or later, with the choice and its
            permit, or with None if the permit was denied.
        """
        self._permit_requests += 1

        def handle_outcome(outcome: PermitOutcome) -> None:
            on_result(self._record_outcome(choice, outcome))

        outcome = self._permits.request(
            choice.record.entry.run, self._rank, handle_outcome
        )
        if outcome is not None:
            handle_outcome(outcome)

    def _record_outcome(self, choice: Choice, outcome: PermitOutcome) -> Choice | None:
        run = choice.record.entry.run
        self._telemetry.permit_decided(
            self._request.attempt_id, run, self._rank, outcome
        )
        if isinstance(outcome, Permit):
            return choice._replace(permit=outcome)
        self.denied.add(run)
        return None

    def reset(self) -> None:
        """Discard the permit requests and denials of the last attempt."""
        self.denied.clear()
        self._permit_requests = 0
