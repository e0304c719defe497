"""Leases of an instance, and the orders that it sends under them."""

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
    from savorychute.instance.parts import Parts
    from savorychute.leases.order_request import OrderRequest
    from savorychute.leases.order_result import OrderResult


class LeaseDesk:
    """Decides who wants the region's lease, and audits what comes of it.

    One instance of each region orders its engines about.  Rendezvous hashing
    picks it, so rivals are rare; the lease in the log decides when views
    disagree.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self.lease_name = name_lease(parts.address.region)

    def tick(self, now_ms: int) -> list[Action]:
        """Want or release the lease, and keep it alive.

        It is not released while an order is under way: the next holder's
        order could overtake it at an endpoint that does not check fencing.
        """
        parts = self._parts
        actions: list[Action] = []
        if self._is_chosen():
            parts.leases.want(self.lease_name)
        elif not parts.orders.open_orders(self.lease_name):
            actions += parts.leases.release(self.lease_name, now_ms)
        actions += parts.leases.tick(now_ms)
        actions += self._follow(parts.orders.tick(now_ms), now_ms)
        self._audit_changes(now_ms)
        return actions

    def holds(self, now_ms: int) -> bool:
        """Return whether this instance may order the region's engines now."""
        return self._parts.leases.holds(self.lease_name, now_ms) is not None

    def request_order(self, request: OrderRequest, now_ms: int) -> list[Action]:
        """Send an order under the lease, if it is held."""
        outcomes = self._parts.orders.request_order(request, now_ms)
        return self._follow(outcomes, now_ms)

    def note_order(self, finished: OrderFinished, now_ms: int) -> list[Action]:
        """Take in how an order ended."""
        outcomes = self._parts.orders.order_finished(finished, now_ms)
        return self._follow(outcomes, now_ms)

    def note_load(self, report: LoadReported, now_ms: int) -> list[Action]:
        """Compare what an engine reports with what it was ordered."""
        return self._follow(self._parts.orders.handle_report(report, now_ms), now_ms)

    def _is_chosen(self) -> bool:
        parts = self._parts
        if not parts.configuration.ready:
            return False
        view = parts.membership.view()
        region = parts.address.region
        near = [member for member in view.alive if member.region == region]
        chosen = choose_homes(self.lease_name, near, 1)
        return any(home.instance == parts.address.instance for home in chosen)

    def _follow(
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
