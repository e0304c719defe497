"""The parts of an instance and their assembly."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from savorychute.admission import ADMISSIONS, Admission
from savorychute.audit.audit_trail import AuditTrail
from savorychute.configuration.log_budget import LogBudget
from savorychute.configuration.manager import ConfigurationManager
from savorychute.credits import CreditLedger
from savorychute.events import EventManager
from savorychute.instance.directory import Directory
from savorychute.instance.request_table import RequestTable
from savorychute.leases.lease_manager import LeaseManager
from savorychute.leases.order_handler import OrderHandler
from savorychute.limits import OrganisationLimiter
from savorychute.membership import Membership
from savorychute.recovery import Ejector, LeavingBroadcaster, Quarantine, RetryBudget
from savorychute.requests import KeyManager
from savorychute.routing import ROUTERS, EndpointTable, OutputLengths, Router

if TYPE_CHECKING:
    from savorychute.instance.instance_settings import InstanceSettings
    from savorychute.member_address import MemberAddress


class InstanceParts(NamedTuple):
    """The parts that the handlers of an instance share."""

    settings: InstanceSettings
    address: MemberAddress
    events: EventManager
    directory: Directory
    request_table: RequestTable
    membership: Membership
    configuration: ConfigurationManager
    audit: AuditTrail
    admission: Admission
    credits: CreditLedger
    limiter: OrganisationLimiter
    endpoint_table: EndpointTable
    router: Router
    lengths: OutputLengths
    retry_budget: RetryBudget
    ejector: Ejector
    leaving: LeavingBroadcaster
    quarantine: Quarantine
    keys: KeyManager
    leases: LeaseManager
    orders: OrderHandler


def assemble_parts(
    settings: InstanceSettings, address: MemberAddress, rng: random.Random
) -> InstanceParts:
    """Create the parts of one instance.

    :param settings: the settings of all parts.
    :param address: the name and address of the instance.
    :param rng: seeds a separate generator for each part, so that the random
        numbers of one part do not depend on the draws of another.
    """

    def make_rng() -> random.Random:
        return random.Random(rng.getrandbits(64))

    name = address.instance
    log_budget = LogBudget(settings.log_budget)
    epoch_offset_ms = settings.epoch_offset_ms
    configuration = settings.configuration._replace(epoch_offset_ms=epoch_offset_ms)
    audit = settings.audit._replace(epoch_offset_ms=epoch_offset_ms)
    keys = KeyManager(settings.keys, address, make_rng())
    keys.set_wall_clock(epoch_offset_ms, 0)
    leases = LeaseManager(settings.leases, name, make_rng(), log_budget)
    endpoint_table = EndpointTable(
        settings.routing, make_rng(), address.failure_domain, address.region
    )
    return InstanceParts(
        settings=settings,
        address=address,
        events=EventManager(),
        directory=Directory(),
        request_table=RequestTable(),
        membership=Membership(settings.membership, address, make_rng()),
        configuration=ConfigurationManager(
            configuration, address, make_rng(), log_budget
        ),
        audit=AuditTrail(audit, f'{name}.{address.incarnation}', log_budget),
        admission=ADMISSIONS.get(settings.admission_name)(
            settings.admission, make_rng()
        ),
        credits=CreditLedger(settings.credits, name, make_rng()),
        limiter=OrganisationLimiter(settings.limiter, name, make_rng()),
        endpoint_table=endpoint_table,
        router=ROUTERS.get(settings.router_name)(
            settings.routing, endpoint_table, make_rng()
        ),
        lengths=OutputLengths(settings.lengths),
        retry_budget=RetryBudget(settings.retries),
        ejector=Ejector(settings.ejection, make_rng()),
        leaving=LeavingBroadcaster(name, make_rng()),
        quarantine=Quarantine(settings.quarantine, name, make_rng()),
        keys=keys,
        leases=leases,
        orders=OrderHandler(settings.leases, leases),
    )
