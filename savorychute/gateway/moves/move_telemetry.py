"""Logs and metrics of streams that go on at another engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.log_identifier import make_identifier
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.telemetry import GatewayTelemetry

STARTED, COMPLETED, FAILED, RESTARTED = 'started', 'completed', 'failed', 'restarted'


class MoveFigures(NamedTuple):
    """What a move costs: tokens in memory, its duration, and the time without events."""

    tokens: int
    duration_ms: int = 0
    paused_ms: int = 0


class MoveTelemetry:
    """Logs each move of a stream: its start, and its completion or failure.

    :param telemetry: writes the lines and metrics.
    """

    def __init__(self, telemetry: GatewayTelemetry) -> None:
        self._telemetry = telemetry

    def departure_planned(
        self, endpoint: str, counts: dict[str, int], left_ms: int, *, is_known: bool
    ) -> None:
        """Log what becomes of the streams of an engine that leaves, at the first plan.

        :param endpoint: the engine.
        :param counts: how many streams stay, move or restart.
        :param left_ms: the time until it ends.
        :param is_known: whether the engine stated that time.
        """
        self._telemetry.write(
            LogLevel.INFO,
            'departure-planned',
            '',
            endpoint=endpoint,
            count=counts['streams'],
            moves=counts['moves'],
            restarts=counts['restarts'],
            leaves_ms=left_ms,
            certain=is_known,
        )

    def move_changed(
        self,
        request_id: str,
        source: EndpointEntry,
        target: str,
        state: str,
        figures: MoveFigures,
        reason: str = '',
    ) -> None:
        """Log a move that started, or how it ended.

        :param request_id: the request whose stream moves.
        :param source: the engine that leaves.
        :param target: the engine at which the stream goes on.
        :param state: ``started``, ``completed``, ``failed`` or ``restarted``.
        :param figures: what the move costs.
        :param reason: why it failed.
        """
        metrics = self._telemetry.metrics
        metrics.count('moves_total', service=source.service, outcome=state)
        if state == COMPLETED:
            metrics.count('moved_tokens_total', figures.tokens, service=source.service)
        self._telemetry.write(
            LogLevel.WARNING if state == FAILED else LogLevel.INFO,
            'stream-moved',
            request_id,
            endpoint=source.endpoint,
            target=target,
            service=source.service,
            state=state,
            reason=make_identifier(reason),
            tokens=figures.tokens,
            duration_ms=figures.duration_ms,
            gap_ms=figures.paused_ms,
        )
