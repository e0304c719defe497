"""Logs and metrics of the duties that one instance carries out for all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.duties.duty_kind import DutyKind
from savorychute.gateway.duties.duty_order import DutyOutcome
from savorychute.gateway.log_identifier import make_identifier
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.errors import SavorychuteError
    from savorychute.gateway.duties.server_duty import ServerOrder
    from savorychute.gateway.duties.server_fleet import ServerFleet
    from savorychute.gateway.duties.usage_duty import UsageStep
    from savorychute.gateway.telemetry import GatewayTelemetry
    from savorychute.leases.lease_change import LeaseChange


class DutyTelemetry:
    """Logs changes of the holder of the duties, and each step of them.

    :param telemetry: writes the lines and metrics.
    """

    def __init__(self, telemetry: GatewayTelemetry) -> None:
        self._telemetry = telemetry

    def duty_changed(self, change: LeaseChange) -> None:
        """Log that this instance has acquired or lost the duties."""
        self._telemetry.metrics.count('duty_changes_total', change=change.change)
        self._telemetry.log.info(
            'duty-changed',
            state=change.change,
            fencing=change.fencing,
            reason=make_identifier(change.why),
        )

    def usage_step(self, step: UsageStep, outcome: DutyOutcome, fencing: int) -> None:
        """Log a step of reporting a window's usage, and its outcome."""
        kind, result = step.kind.name.lower(), outcome.name.lower()
        self._telemetry.metrics.count(
            'duty_steps_total', duty=DutyKind.USAGE.value, step=kind, outcome=result
        )
        self._telemetry.write(
            LogLevel.INFO if outcome is DutyOutcome.ACCEPTED else LogLevel.WARNING,
            'usage-step',
            '',
            item=kind,
            state=result,
            window=step.report.window,
            fencing=fencing,
            age_ms=step.age_ms,
            count=sum(count for _, count in step.report.counts),
        )

    def servers_decided(self, fleets: Sequence[ServerFleet]) -> None:
        """Log the endpoints that are wanted from now on, and why."""
        for fleet in fleets:
            self._telemetry.log.info(
                'servers-decided',
                service=fleet.service,
                count=fleet.total,
                reason=make_identifier(fleet.reason),
            )

    def servers_ordered(
        self, order: ServerOrder, outcome: DutyOutcome, fencing: int
    ) -> None:
        """Log an order of endpoints, and the platform's response."""
        result = outcome.name.lower()
        self._telemetry.metrics.count(
            'duty_steps_total',
            duty=DutyKind.SERVERS.value,
            step='order',
            outcome=result,
        )
        self._telemetry.write(
            LogLevel.INFO if outcome is DutyOutcome.ACCEPTED else LogLevel.WARNING,
            'servers-ordered',
            '',
            service=order.service,
            failure_domain=order.failure_domain,
            item='reclaimable' if order.reclaimable else 'lasting',
            count=order.number,
            state=result,
            fencing=fencing,
            reason=make_identifier(order.reason),
        )

    def store_failed(self, topic: str, error: SavorychuteError) -> None:
        """Record a failure of the store."""
        self._telemetry.store_failed(topic, error)

    def store_responded(self, topic: str) -> None:
        """Record a response of the store."""
        self._telemetry.store_responded(topic)
