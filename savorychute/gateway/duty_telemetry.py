"""What a gateway tells of the duties that it carries out for all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.duties.duty_kind import DutyKind
from savorychute.gateway.duties.duty_order import DutyOutcome
from savorychute.gateway.log_word import make_word
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
    """Logs who holds the duties and each step of them.

    :param telemetry: where lines and figures go.
    """

    def __init__(self, telemetry: GatewayTelemetry) -> None:
        self._telemetry = telemetry

    def duty_changed(self, change: LeaseChange) -> None:
        """Log that this instance began or ceased to hold the duties."""
        self._telemetry.metrics.count('duty_changes_total', change=change.change)
        self._telemetry.log.info(
            'duty-changed',
            state=change.change,
            fencing=change.fencing,
            reason=make_word(change.why),
        )

    def usage_step(self, step: UsageStep, outcome: DutyOutcome, fencing: int) -> None:
        """Log what was done about a window's usage, and how it ended."""
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
        """Log what endpoints are wanted from now on, and why."""
        for fleet in fleets:
            self._telemetry.log.info(
                'servers-decided',
                service=fleet.service,
                count=fleet.total,
                reason=make_word(fleet.reason),
            )

    def servers_ordered(
        self, order: ServerOrder, outcome: DutyOutcome, fencing: int
    ) -> None:
        """Log an order of endpoints, and how the platform took it."""
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
            reason=make_word(order.reason),
        )

    def store_failed(self, topic: str, error: SavorychuteError) -> None:
        """Count a failure of the store."""
        self._telemetry.store_failed(topic, error)

    def store_answered(self, topic: str) -> None:
        """Note that the store has answered."""
        self._telemetry.store_answered(topic)
