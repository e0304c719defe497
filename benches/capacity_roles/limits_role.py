"""Costs of enforcing the limits of organisations and of being home to some of them."""

from __future__ import annotations

import heapq
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from benches.capacity_roles.measuring import allocated_bytes
from benches.capacity_roles.part_mesh import PartMesh, choose_sampled
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.site import make_contracts, make_members, make_view
from benches.capacity_roles.target import SIZES, Target
from savorychute.clock import MS_PER_S
from savorychute.contracts.limits import derive_limits
from savorychute.limits import LimitSettings, OrganisationLimiter
from savorychute.membership import choose_homes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import Action
    from savorychute.contracts.organisation_limits import OrganisationLimits
    from savorychute.member_address import MemberAddress

TICK_MS = 100
WARM_UP_MS = 8_000
WINDOW_MS = 2_000
WINDOWS = 3
SAMPLED_INSTANCES = 32
INSTANCES_PER_ORGANISATION = 3
MEAN_SERVICE_MS = 8_000
EXPECTED_TOKENS = 200


class ActiveRequest(NamedTuple):
    """A request that counts against a limit."""

    end_ms: int
    request_id: str


class SimulatedLimiter:
    """A limiter under one instance's share of the target load.

    :param own: the address of the instance.
    :param alive: all members.
    :param limits: the limits of all organisations.
    :param served: organisations whose callers use the instance.
    :param rate_per_ms: request rate of the instance.
    :param rng: random numbers for the load.
    """

    def __init__(
        self,
        own: MemberAddress,
        alive: tuple[MemberAddress, ...],
        limits: dict[str, OrganisationLimits],
        served: Sequence[str],
        rate_per_ms: float,
        rng: Random,
    ) -> None:
        self.limiter = OrganisationLimiter(LimitSettings(), own.instance, rng)
        self.limiter.set_limits(limits)
        self.started = 0
        self.refused = 0
        self._view = make_view(own, alive)
        self._served = served
        self._rng = rng
        self._rate_per_ms = rate_per_ms
        self._running: list[ActiveRequest] = []
        self._arrival_ms = rng.expovariate(rate_per_ms)

    def prepare(self, now_ms: int) -> None:
        """End and start requests; a refused one is counted and dropped."""
        while self._running and self._running[0].end_ms <= now_ms:
            ended = heapq.heappop(self._running)
            self.limiter.finish(ended.request_id, EXPECTED_TOKENS, now_ms)
        while self._arrival_ms <= now_ms:
            self._arrival_ms += self._rng.expovariate(self._rate_per_ms)
            if self._served:
                self._start(self._rng.choice(self._served), now_ms)

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Tick the limiter."""
        return self.limiter.tick(self._view, now_ms)

    def receive(
        self, sender: str, message: tuple[object, ...], now_ms: int
    ) -> Sequence[Action]:
        """Pass a peer message to the measured part."""
        return self.limiter.receive(sender, message, self._view, now_ms)

    def execute_action(self, action: Action, now_ms: int) -> Sequence[Action]:
        """Do nothing; a limiter only sends peer messages."""
        del action, now_ms
        return []

    def _start(self, organisation: str, now_ms: int) -> None:
        if self.limiter.check(organisation, EXPECTED_TOKENS, now_ms):
            self.refused += 1
            return
        self.started += 1
        request_id = f'request-{self.started}'
        self.limiter.start(organisation, request_id, EXPECTED_TOKENS, now_ms)
        service_ms = int(self._rng.expovariate(1 / MEAN_SERVICE_MS))
        heapq.heappush(self._running, ActiveRequest(now_ms + service_ms, request_id))


@role(
    "keeper of organisations' limits",
    "shares of each organisation's limits, reported to and granted by the organisation's "
    'home for the few instances that serve it (assumed: three)',
    'organisations that are served by many instances: each pair of instance and home '
    'exchanges a report and a grant a second',
    SIZES,
)
def measure_limits(instances: int) -> RoleSample:
    """Measure limiters under the target load, with equal organisations.

    :param instances: the size of the system.
    """
    alive = make_members(instances)
    limits = make_limits(instances)
    served = assign_organisations(alive, list(limits))
    rate_per_ms = Target(instances).requests_per_s / instances / MS_PER_S
    parts = {
        own.instance: SimulatedLimiter(
            own,
            alive,
            limits,
            served[own.instance],
            rate_per_ms,
            Random(number),
        )
        for number, own in enumerate(alive)
    }
    mesh = PartMesh(parts, choose_sampled(list(parts), SAMPLED_INSTANCES), TICK_MS)
    mesh.run(WARM_UP_MS)
    costs = mesh.measure(WINDOW_MS, WINDOWS)
    if not any(part.started for part in parts.values()):
        raise RuntimeError('no request was started')
    return RoleSample(
        instances,
        state_bytes=allocated_bytes(lambda: build_limiter(instances)),
        **costs._asdict(),
    )


def make_limits(instances: int) -> dict[str, OrganisationLimits]:
    """Return the limits of all organisations.

    :param instances: the size of the system.
    """
    contracts = make_contracts(instances)
    return {name: derive_limits(contract) for name, contract in contracts.items()}


def assign_organisations(
    alive: tuple[MemberAddress, ...], organisations: Sequence[str]
) -> dict[str, list[str]]:
    """Return the organisations that each instance serves.

    :param alive: all members.
    :param organisations: all organisations; each has its callers in one region.
    """
    served: dict[str, list[str]] = {member.instance: [] for member in alive}
    regions = sorted({member.region for member in alive})
    for number, organisation in enumerate(organisations):
        region = regions[number % len(regions)]
        in_region = [member for member in alive if member.region == region]
        for seat in choose_homes(organisation, in_region, INSTANCES_PER_ORGANISATION):
            served[seat.instance].append(organisation)
    return served


def build_limiter(instances: int) -> OrganisationLimiter:
    """Return a limiter that knows all organisations; the limits are counted too.

    :param instances: the size of the system.
    """
    alive = make_members(instances)
    limiter = OrganisationLimiter(LimitSettings(), alive[0].instance, Random(1))
    limiter.set_limits(make_limits(instances))
    limiter.tick(make_view(alive[0], alive), 0)
    return limiter
