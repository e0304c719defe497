"""The role of answering where callers connect."""

from __future__ import annotations

from random import Random

from benches.capacity_roles.measuring import time_us
from benches.capacity_roles.member_mesh import make_address
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.target import SIZES, Target
from savorychute.membership import DiscoverySettings, MemberView, answer_discovery

ANSWERS = 400
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
    """Measure the time of an answer at the assumed rate of questions.

    :param instances: the size of the system.
    """
    target = Target(instances)
    alive = tuple(make_address(n, target.regions) for n in range(instances))
    view = MemberView(alive[0], tuple(sorted(alive)))
    settings = DiscoverySettings()
    rng = Random(1)

    def answer_all() -> None:
        for number in range(ANSWERS):
            answer_discovery(f'organisation-{number}', view, settings, rng)

    answer_us = time_us(answer_all) / ANSWERS
    questions_per_s = target.organisations * CALLERS_PER_ORGANISATION / MEAN_LIFETIME_S
    return RoleSample(
        instances, processor_us_per_s=answer_us * questions_per_s / instances
    )
