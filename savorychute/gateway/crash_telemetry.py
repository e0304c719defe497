"""Logs and metrics of requests that crash endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.log_identifier import list_traits
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.crashes.lost_request import LostRequest
    from savorychute.crashes.verdict import Verdict
    from savorychute.gateway.telemetry import GatewayTelemetry


class CrashTelemetry:
    """Logs what accuses and clears requests, and each change of a verdict.

    :param telemetry: writes the lines and metrics.
    """

    def __init__(self, telemetry: GatewayTelemetry) -> None:
        self._telemetry = telemetry

    def crash_counted(self, service: str, lost: LostRequest, crashes: int) -> None:
        """Log that a lost attempt counts as a crash, as its endpoint is gone.

        :param service: its service.
        :param lost: the request and the run of the endpoint.
        :param crashes: in how many crashes its most suspected trait was.
        """
        self._telemetry.metrics.count('crashes_total', service=service)
        self._telemetry.write(
            LogLevel.WARNING,
            'crash-counted',
            '',
            service=service,
            endpoint=lost.run,
            fingerprint=f'{lost.request:x}',
            traits=list_traits(lost.parts),
            count=crashes,
        )

    def traits_cleared(self, service: str, traits: Sequence[int]) -> None:
        """Log that a request succeeded whose traits were suspected.

        :param service: its service.
        :param traits: the traits.
        """
        self._telemetry.write(
            LogLevel.INFO,
            'traits-cleared',
            '',
            service=service,
            traits=list_traits(traits),
        )

    def verdict_changed(self, verdict: Verdict, reason: str) -> None:
        """Log a change of a verdict.

        :param verdict: the verdict after the change.
        :param reason: why it has changed, ``told`` if another instance has changed it.
        """
        state = 'lifted' if verdict.lifted else 'in-force'
        self._telemetry.metrics.count('verdict_changes_total', reason=reason)
        self._telemetry.write(
            LogLevel.WARNING,
            'verdict-changed',
            '',
            service=verdict.key.service,
            traits=list_traits(verdict.key.traits),
            state=state,
            reason=reason,
            count=verdict.crashes,
            certain=verdict.certain,
            trials=verdict.trials,
            retry_after_ms=max(0, verdict.due_ms - self._telemetry.clock.now_ms()),
        )
