"""Plans orders of endpoints from the endpoints that are known."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.configuration.configuration_state import (
        ConfigurationState,
    )
    from savorychute.gateway.configuration.service import Service
    from savorychute.gateway.duties.server_duty import ServerDuty, ServerOrder
    from savorychute.gateway.duties.server_fleet import ServerFleet
    from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
    from savorychute.gateway.store.read_plan import ReadPlan

# If the endpoint entries were read longer ago, endpoints may exist that are not known.
MAX_ENTRY_AGE_MS = 3_000


class ServerPlanner(NamedTuple):
    """The duty of ordering endpoints, and the state it decides from."""

    duty: ServerDuty
    configuration: ConfigurationState
    roster: EndpointRoster
    plan: ReadPlan

    def decide_fleets(self, now_ms: int) -> list[ServerFleet]:
        """Record the existing endpoints; return fleets that are newly decided."""
        if self._is_incomplete(now_ms):
            return []
        entries = [
            record.entry
            for record in self.roster
            if not self.roster.is_leaving(record.entry)
        ]
        self.duty.observe(self._services, entries, now_ms)
        return self.duty.decide_fleets(self._services, now_ms)

    def due_orders(self, now_ms: int) -> list[ServerOrder]:
        """Return the orders that are due."""
        if self._is_incomplete(now_ms):
            return []
        return self.duty.due_orders(self._services, now_ms)

    @property
    def _services(self) -> tuple[Service, ...]:
        table = self.configuration.table
        return table.deployment.services if table is not None else ()

    def _is_incomplete(self, now_ms: int) -> bool:
        """Return whether endpoints may exist that are not known here."""
        age_ms = self.plan.endpoint_age_ms(now_ms)
        failing = bool(self.plan.failing_topics)
        return failing or age_ms is None or age_ms > MAX_ENTRY_AGE_MS
