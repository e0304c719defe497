"""Logs and metrics of the paths to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.log_identifier import make_identifier
from savorychute.gateway.paths.tunnel_end import USUAL_ENDS
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from savorychute.gateway.paths.tunnel_end import TunnelEnd
    from savorychute.gateway.telemetry import GatewayTelemetry
    from savorychute.http.client_pool import ServerAddress

# An endpoint that is gone is asked for by every request; one line a second tells that.
LINE_INTERVAL_MS = 1_000
MAX_ADDRESSES = 256


class _RepeatedEvents:
    """Limits the lines about each address, and counts the events between them."""

    def __init__(self) -> None:
        self._next_ms: dict[ServerAddress, int] = {}
        self._counts: dict[ServerAddress, int] = {}

    def count(self, address: ServerAddress, now_ms: int) -> int:
        """Count an event; return the events since the last line if one is due, else 0.

        :param address: the address that the event concerns.
        :param now_ms: the current time.
        """
        count = self._counts.pop(address, 0) + 1
        if now_ms < self._next_ms.get(address, now_ms):
            self._counts[address] = count
            return 0
        self._next_ms.pop(address, None)
        self._next_ms[address] = now_ms + LINE_INTERVAL_MS
        if len(self._next_ms) > MAX_ADDRESSES:
            oldest = next(iter(self._next_ms))
            del self._next_ms[oldest]
            self._counts.pop(oldest, None)
        return count


class PathTelemetry:
    """Logs lost paths and failed tunnels, and counts connections.

    :param telemetry: writes the lines and metrics.
    """

    def __init__(self, telemetry: GatewayTelemetry) -> None:
        self._telemetry = telemetry
        self._failed = _RepeatedEvents()
        self._refused = _RepeatedEvents()
        self._ended = _RepeatedEvents()

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
        count = self._refused.count(address, self._telemetry.clock.now_ms())
        if count:
            self._telemetry.write(
                LogLevel.WARNING,
                'tunnel-refused',
                '',
                member=requester,
                address=f'{address.host}:{address.port}',
                status=status,
                count=count,
            )

    def tunnel_ended(
        self,
        requester: str,
        address: ServerAddress,
        end: TunnelEnd,
        passed_bytes: int,
    ) -> None:
        """Count the end of a tunnel through this instance; log one that failed."""
        self._telemetry.metrics.count('tunnels_ended_total', reason=end.value)
        if end in USUAL_ENDS:
            return
        count = self._ended.count(address, self._telemetry.clock.now_ms())
        if count:
            self._telemetry.write(
                LogLevel.WARNING,
                'tunnel-ended',
                '',
                member=requester,
                address=f'{address.host}:{address.port}',
                reason=end.value,
                bytes=passed_bytes,
                count=count,
            )

    def tunnel_failed(self, relay: str, address: ServerAddress, reason: str) -> None:
        """Log that another instance opened no tunnel."""
        self._telemetry.metrics.count('tunnel_failures_total')
        count = self._failed.count(address, self._telemetry.clock.now_ms())
        if count:
            self._telemetry.write(
                LogLevel.WARNING,
                'tunnel-failed',
                '',
                member=relay,
                address=f'{address.host}:{address.port}',
                reason=make_identifier(reason),
                count=count,
            )
