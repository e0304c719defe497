"""Whether one request may be sent, by the crashes that it may cause."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.crashes.crash_decision import CrashDecisionKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.crashes.crash_decision import CrashDecision
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.recovery.crash_guard import CrashGuard
    from savorychute.gateway.requests.admitted_request import AdmittedRequest


class CrashCheck:
    """Asks for the verdicts on a request before each send, and reports how it went.

    :param crashes: which requests crash endpoints.
    :param admitted: the request.
    """

    def __init__(self, crashes: CrashGuard, admitted: AdmittedRequest) -> None:
        self._crashes = crashes
        self._service = admitted.service.name
        self._traits = admitted.traits
        # The one attempt of a trial is let through.
        self._is_trial = admitted.is_trial

    def find_refusal(self, now_ms: int) -> CrashDecision | None:
        """Return the decision not to send the request, or None if it may be sent.

        :param now_ms: the current time.
        """
        if self._is_trial:
            return None
        decision = self._crashes.decide(self._service, self._traits, now_ms)
        return decision if decision.kind is CrashDecisionKind.REFUSED else None

    def is_free(self, now_ms: int) -> bool:
        """Return whether the request may run at any endpoint.

        :param now_ms: the current time.
        """
        decision = self._crashes.decide(self._service, self._traits, now_ms)
        return decision.kind is CrashDecisionKind.FREE

    def confine(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> Sequence[EndpointRecord]:
        """Return the endpoints at which the request may run; one for a suspect.

        :param records: the available endpoints.
        :param now_ms: the current time.
        """
        if len(records) < 2:
            return records
        decision = self._crashes.decide(self._service, self._traits, now_ms)
        if decision.kind is CrashDecisionKind.FREE:
            return records
        lane = decision.lane.to_bytes(8, 'big')
        return [max(records, key=lambda record: _score(record, lane))]

    def attempt_ended(self) -> None:
        """Record that an attempt may have run, which ends a trial."""
        self._is_trial = False

    def record_loss(self, run: EndpointRun, now_ms: int) -> None:
        """Record that an attempt was lost while its endpoint may have run it.

        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        self._crashes.record_interruption(self._service, self._traits, run, now_ms)

    def record_success(self, run: EndpointRun, now_ms: int) -> None:
        """Record that an endpoint has survived the request.

        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        self._crashes.record_success(self._service, self._traits, run, now_ms)


def _score(record: EndpointRecord, lane: bytes) -> int:
    return int(xxhash.xxh3_64_intdigest(record.hash_key + lane))
