"""Costs of telling callers which instances to connect to."""

from __future__ import annotations

from random import Random

from benches.capacity_roles.measuring import time_us
from benches.capacity_roles.member_mesh import make_address
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.target import SIZES, Target
from savorychute.membership import DiscoverySettings, MemberView, answer_discovery

RESPONSES = 400
CALLERS_PER_ORGANISATION = 20
MEAN_LIFETIME_S = 60


@role(
    'discovery answerer',
    'an answer is computed from the member view alone, with no message and no '
    'state; lifetimes are drawn between 30 and 90 s (assumed here: 20 callers '
    'for each organisation, each asking once a minute)',
    'the scan of all members for each answer; a table of seats kept between '
    'answers would replace it',
    SIZES,
)
def measure_discovery(instances: int) -> RoleSample:
    """Measure the time of a response at the assumed rate of requests.

    :param instances: the size of the system.
    """
    target = Target(instances)
    alive = tuple(make_address(n, target.regions) for n in range(instances))
    view = MemberView(alive[0], tuple(sorted(alive)))
    settings = DiscoverySettings()
    rng = Random(1)

    def answer_all() -> None:
        for number in range(RESPONSES):
            answer_discovery(f'organisation-{number}', view, settings, rng)

    response_us = time_us(answer_all) / RESPONSES
    requests_per_s = target.organisations * CALLERS_PER_ORGANISATION / MEAN_LIFETIME_S
    return RoleSample(
        instances, processor_us_per_s=response_us * requests_per_s / instances
    )
