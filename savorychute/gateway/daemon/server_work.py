"""What the holder of the duties knows of endpoints when it orders some."""

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

# Entries that were read longer ago may not show what stands.
STALE_MS = 3_000


class ServerWork(NamedTuple):
    """The duty, and what it is decided from."""

    duty: ServerDuty
    configuration: ConfigurationState
    roster: EndpointRoster
    plan: ReadPlan

    def look(self, now_ms: int) -> list[ServerFleet]:
        """Take in what stands; return what is newly decided."""
        if self._is_partial(now_ms):
            return []
        entries = [
            record.entry
            for record in self.roster
            if not self.roster.is_leaving(record.entry)
        ]
        self.duty.observe(self._services, entries, now_ms)
        return self.duty.decide_fleets(self._services, now_ms)

    def orders(self, now_ms: int) -> list[ServerOrder]:
        """Return the orders that are due."""
        if self._is_partial(now_ms):
            return []
        return self.duty.due_orders(self._services, now_ms)

    @property
    def _services(self) -> tuple[Service, ...]:
        table = self.configuration.table
        return table.deployment.services if table is not None else ()

    def _is_partial(self, now_ms: int) -> bool:
        """Return whether endpoints may stand that are not known here."""
        age_ms = self.plan.endpoint_age_ms(now_ms)
        failing = bool(self.plan.failing_topics)
        return failing or age_ms is None or age_ms > STALE_MS
