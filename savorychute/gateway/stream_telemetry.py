"""Logs and metrics of streams that callers take up again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.log_identifier import make_identifier
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.streams.origin_finder import Finding
    from savorychute.gateway.streams.stream_origin import StreamOrigin
    from savorychute.gateway.telemetry import GatewayTelemetry

ADMITTED = 'admitted'


class StreamTelemetry:
    """Logs how the origin of each resumed stream is known, and what follows.

    :param telemetry: writes the lines and metrics.
    """

    def __init__(self, telemetry: GatewayTelemetry) -> None:
        self._telemetry = telemetry

    def stream_resumed(
        self, request: InboundRequest, finding: Finding, outcome: str, waited_ms: int
    ) -> None:
        """Log whether a stream goes on, at which version, and how that is known.

        :param request: the request of the caller that takes the stream up.
        :param finding: what began the stream.
        :param outcome: ``admitted``, or the reason of the refusal.
        :param waited_ms: how long the lookup took.
        """
        origin = finding.origin
        self._telemetry.metrics.count('streams_resumed_total', outcome=outcome)
        self._telemetry.write(
            LogLevel.INFO if outcome == ADMITTED else LogLevel.WARNING,
            'stream-resumed',
            request.attempt_id,
            resumes=make_identifier(request.resumed_attempt),
            last_event=make_identifier(request.last_event),
            service=origin.service if origin is not None else '',
            software=make_identifier(origin.version) if origin is not None else None,
            source=finding.source,
            age_ms=finding.age_ms,
            waited_ms=waited_ms,
            state=outcome,
        )

    def version_marked(self, origin: StreamOrigin, state: str) -> None:
        """Log that the store marks a version, or does not any more.

        :param origin: the service and the version.
        :param state: ``marked`` or ``removed``.
        """
        self._telemetry.write(
            LogLevel.WARNING,
            'version-marked',
            '',
            service=origin.service,
            software=make_identifier(origin.version),
            state=state,
        )

    def records_counted(self, kept: int, dropped: int) -> None:
        """Set the numbers of records of streams.

        :param kept: records that this instance keeps, its own and those of others.
        :param dropped: records dropped before their time since the start.
        """
        self._telemetry.metrics.set('stream_records', kept)
        self._telemetry.metrics.set('stream_records_dropped', dropped)
