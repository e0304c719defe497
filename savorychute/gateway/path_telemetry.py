"""Logs and metrics of the paths to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.log_identifier import make_identifier
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from savorychute.gateway.telemetry import GatewayTelemetry
    from savorychute.http.client_pool import ServerAddress


class PathTelemetry:
    """Logs lost paths and failed tunnels, and counts connections.

    :param telemetry: writes the lines and metrics.
    """

    def __init__(self, telemetry: GatewayTelemetry) -> None:
        self._telemetry = telemetry

    def paths_changed(self, is_isolated: bool) -> None:
        """Log that this instance has lost the paths to all endpoints, or has them again."""
        self._telemetry.metrics.set('isolated', int(is_isolated))
        event = 'dependency-lost' if is_isolated else 'dependency-regained'
        self._telemetry.write(LogLevel.WARNING, event, '', item='endpoint-paths')

    def connected(self, via: str) -> None:
        """Count a connection to an endpoint."""
        way = 'tunnel' if via else 'direct'
        self._telemetry.metrics.count('connections_total', way=way)

    def tunnel_refused(
        self, requester: str, address: ServerAddress, status: int
    ) -> None:
        """Log that this instance opened no tunnel for another one."""
        self._telemetry.write(
            LogLevel.WARNING,
            'tunnel-refused',
            '',
            member=requester,
            address=f'{address.host}:{address.port}',
            status=status,
        )

    def tunnel_failed(self, relay: str, address: ServerAddress, reason: str) -> None:
        """Log that another instance opened no tunnel."""
        self._telemetry.metrics.count('tunnel_failures_total')
        self._telemetry.write(
            LogLevel.WARNING,
            'tunnel-failed',
            '',
            member=relay,
            address=f'{address.host}:{address.port}',
            reason=make_identifier(reason),
        )
