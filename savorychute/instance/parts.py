"""The parts of an instance, assembled."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from savorychute.admission import ADMISSIONS, Admission
from savorychute.audit.audit_trail import AuditTrail
from savorychute.configuration.keeper import ConfigurationKeeper
from savorychute.configuration.log_budget import LogBudget
from savorychute.credits import CreditLedger
from savorychute.events import EventManager
from savorychute.instance.directory import Directory
from savorychute.instance.request_table import RequestTable
from savorychute.leases.lease_keeper import LeaseKeeper
from savorychute.leases.order_desk import OrderDesk
from savorychute.limits import OrganisationLimiter
from savorychute.membership import Membership
from savorychute.recovery import Ejector, LeavingBroadcaster, Quarantine, RetryBudget
from savorychute.requests import KeyManager
from savorychute.routing import ROUTERS, EndpointTable, OutputLengths, Router

if TYPE_CHECKING:
    from savorychute.instance.instance_settings import InstanceSettings
    from savorychute.member_address import MemberAddress


class Parts(NamedTuple):
    """Everything that the desks of an instance share."""

    settings: InstanceSettings
    address: MemberAddress
    events: EventManager
    directory: Directory
    table: RequestTable
    membership: Membership
    configuration: ConfigurationKeeper
    audit: AuditTrail
    admission: Admission
    credits: CreditLedger
    limiter: OrganisationLimiter
    book: EndpointTable
    router: Router
    lengths: OutputLengths
    budget: RetryBudget
    ejector: Ejector
    leaving: LeavingBroadcaster
    quarantine: Quarantine
    keys: KeyManager
    leases: LeaseKeeper
    orders: OrderDesk


def assemble_parts(
    settings: InstanceSettings, address: MemberAddress, rng: random.Random
) -> Parts:
    """Make the parts of one instance.

    :param settings: the settings of every part.
    :param address: who and where the instance is.
    :param rng: seeds a generator of its own for each part, so that one
        part's draws do not shift another's.
    """

    def fork() -> random.Random:
        return random.Random(rng.getrandbits(64))

    name = address.instance
    log_budget = LogBudget(settings.log_budget)
    epoch_offset_ms = settings.epoch_offset_ms
    configuration = settings.configuration._replace(epoch_offset_ms=epoch_offset_ms)
    audit = settings.audit._replace(epoch_offset_ms=epoch_offset_ms)
    keys = KeyManager(settings.keys, address, fork())
    keys.set_wall_clock(epoch_offset_ms, 0)
    leases = LeaseKeeper(settings.leases, name, fork(), log_budget)
    book = EndpointTable(
        settings.routing, fork(), address.failure_domain, address.region
    )
    return Parts(
        settings=settings,
        address=address,
        events=EventManager(),
        directory=Directory(),
        table=RequestTable(),
        membership=Membership(settings.membership, address, fork()),
        configuration=ConfigurationKeeper(configuration, address, fork(), log_budget),
        audit=AuditTrail(audit, f'{name}.{address.incarnation}', log_budget),
        admission=ADMISSIONS.get(settings.admission_name)(settings.admission, fork()),
        credits=CreditLedger(settings.credits, name, fork()),
        limiter=OrganisationLimiter(settings.limiter, name, fork()),
        book=book,
        router=ROUTERS.get(settings.router_name)(settings.routing, book, fork()),
        lengths=OutputLengths(settings.lengths),
        budget=RetryBudget(settings.retries),
        ejector=Ejector(settings.ejection, fork()),
        leaving=LeavingBroadcaster(name, fork()),
        quarantine=Quarantine(settings.quarantine, name, fork()),
        keys=keys,
        leases=leases,
        orders=OrderDesk(settings.leases, leases),
    )
