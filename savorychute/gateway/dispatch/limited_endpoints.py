"""Endpoints that state limits, as one request sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.permits.permit import Permit

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.permits.permit import Outcome
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.inbound_request import InboundRequest

# Permits that a request asks for before an attempt, one after the other.
MOST_PERMITS = 4


class LimitedEndpoints:
    """Asks for permits, and knows which endpoints have none for the request now.

    Engines that state a limit below the usual requests are the last choice: they serve
    what others have no room for, or would let wait.

    :param parts: what all requests share.
    :param request: the request.
    :param admitted: what it is owed.
    """

    def __init__(
        self, parts: GatewayParts, request: InboundRequest, admitted: AdmittedRequest
    ) -> None:
        self._permits = parts.permits
        self._telemetry = parts.endpoint_telemetry
        self._request = request
        self._rank = admitted.rank
        self._runs_models = admitted.service.runs_models
        self._asked = 0
        # Those that gave no permit for the attempt that is sought.
        self.denied: set[EndpointRun] = set()

    def is_limited(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint takes only so many calls."""
        return self._permits.is_limited(record.entry.run)

    def goes_last(self, record: EndpointRecord, now_ms: int) -> bool:
        """Return whether an endpoint is left to requests that no other one takes.

        An engine that is there for one request and not for the next one would move the
        lanes and the homes of prompts.

        :param record: the endpoint.
        :param now_ms: the time.
        """
        if not self.is_limited(record):
            return False
        if self._asked >= MOST_PERMITS:
            return True
        if self._runs_models:
            return self._permits.is_scarce(record.entry.run, now_ms)
        return not self._is_open(record, now_ms)

    def find_open(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        """Return the limited endpoints that may be asked for a permit.

        :param records: endpoints of the service.
        :param now_ms: the time.
        """
        if self._asked >= MOST_PERMITS:
            return []
        limited = [each for each in records if self.is_limited(each)]
        return [each for each in limited if self._is_open(each, now_ms)]

    def find_due(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        """Return those of which nobody has heard lately whether the limit stands.

        :param records: endpoints of the service.
        :param now_ms: the time.
        """
        found = self.find_open(records, now_ms)
        return [each for each in found if self._permits.is_due(each.entry.run, now_ms)]

    def _is_open(self, record: EndpointRecord, now_ms: int) -> bool:
        return not self.wait_ms(record, now_ms)

    def wait_ms(self, record: EndpointRecord, now_ms: int) -> int:
        """Return how long it takes until an endpoint may take the request.

        :param record: the endpoint.
        :param now_ms: the time.
        """
        return self._permits.wait_ms(record.entry.run, self._rank, now_ms)

    def ask(self, choice: Choice, on_answer: Callable[[Choice | None], None]) -> None:
        """Ask for a permit.

        :param choice: a limited endpoint.
        :param on_answer: called once, now or later, with the choice and its permit, or
            None if there is none.
        """
        self._asked += 1

        def take(outcome: Outcome) -> None:
            on_answer(self._take(choice, outcome))

        outcome = self._permits.request(choice.record.entry.run, self._rank, take)
        if outcome is not None:
            take(outcome)

    def _take(self, choice: Choice, outcome: Outcome) -> Choice | None:
        run = choice.record.entry.run
        self._telemetry.permit_decided(
            self._request.attempt_id, run, self._rank, outcome
        )
        if isinstance(outcome, Permit):
            return choice._replace(permit=outcome)
        self.denied.add(run)
        return None

    def begin_anew(self) -> None:
        """Forget what was asked, for the next attempt."""
        self.denied.clear()
        self._asked = 0
