"""The lease of a region and the orders that are sent under it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions import SendOrder
from savorychute.audit.audit_entry import AuditEntry
from savorychute.audit.audit_kind import AuditKind
from savorychute.instance.lease_name import name_lease
from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.actions import Action
    from savorychute.inputs import LoadReported, OrderFinished
    from savorychute.instance.parts import InstanceParts
    from savorychute.leases.order_request import OrderRequest
    from savorychute.leases.order_result import OrderResult


class LeaseHandler:
    """Acquires and releases the region's lease, and audits leases and orders.

    One instance of each region sends orders to its engines.  Rendezvous hashing
    selects it, so competing claims are rare.  When the views of the members
    disagree, the lease in the log decides.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: InstanceParts) -> None:
        self._parts = parts
        self.lease_name = name_lease(parts.address.region)

    def tick(self, now_ms: int) -> list[Action]:
        """Claim, renew or release the lease.

        It is not released while an order is in flight: an order of the next
        holder could overtake it at an endpoint that does not check fencing.
        """
        parts = self._parts
        actions: list[Action] = []
        if self._is_preferred_holder():
            parts.leases.want(self.lease_name)
        elif not parts.orders.open_orders(self.lease_name):
            actions += parts.leases.release(self.lease_name, now_ms)
        actions += parts.leases.tick(now_ms)
        actions += self._handle_outcomes(parts.orders.tick(now_ms), now_ms)
        self._audit_changes(now_ms)
        return actions

    def holds(self, now_ms: int) -> bool:
        """Return whether this instance can send orders to the engines now."""
        return self._parts.leases.holds(self.lease_name, now_ms) is not None

    def request_order(self, request: OrderRequest, now_ms: int) -> list[Action]:
        """Send an order under the lease, if it is held."""
        outcomes = self._parts.orders.request_order(request, now_ms)
        return self._handle_outcomes(outcomes, now_ms)

    def handle_finished_order(
        self, finished: OrderFinished, now_ms: int
    ) -> list[Action]:
        """Handle the outcome of an order."""
        outcomes = self._parts.orders.order_finished(finished, now_ms)
        return self._handle_outcomes(outcomes, now_ms)

    def handle_load_report(self, report: LoadReported, now_ms: int) -> list[Action]:
        """Compare an engine's report with the orders that were sent to it."""
        return self._handle_outcomes(
            self._parts.orders.handle_report(report, now_ms), now_ms
        )

    def _is_preferred_holder(self) -> bool:
        parts = self._parts
        if not parts.configuration.ready:
            return False
        view = parts.membership.view()
        region = parts.address.region
        same_region = [member for member in view.alive if member.region == region]
        preferred_holders = choose_homes(self.lease_name, same_region, 1)
        return any(
            holder.instance == parts.address.instance for holder in preferred_holders
        )

    def _handle_outcomes(
        self, outcomes: Iterable[SendOrder | OrderResult], now_ms: int
    ) -> list[Action]:
        actions: list[Action] = []
        for outcome in outcomes:
            if isinstance(outcome, SendOrder):
                actions.append(outcome)
                self._parts.events.emit('order-sent', outcome)
            else:
                self._audit_result(outcome, now_ms)
        return actions

    def _audit_result(self, result: OrderResult, now_ms: int) -> None:
        entry = AuditEntry(
            kind=AuditKind.ORDER,
            item=f'endpoint:{result.endpoint}',
            operator='',
            from_version='',
            to_version=f'{result.verb} {result.target}: {result.outcome}',
            why=result.why,
            lasting=True,
        )
        self._parts.audit.record(entry, now_ms)

    def _audit_changes(self, now_ms: int) -> None:
        parts = self._parts
        for change in parts.leases.take_changes():
            entry = AuditEntry(
                kind=AuditKind.LEASE,
                item=f'lease:{change.name}',
                operator='',
                from_version='',
                to_version=f'{change.change} {change.fencing}',
                why=change.why,
            )
            parts.audit.record(entry, now_ms)
            parts.events.emit('lease-changed', change)
