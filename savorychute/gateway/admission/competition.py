"""The rules by which the requests of one instance compete for capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.admission.deadline_check import DeadlineCheck
from savorychute.gateway.admission.organisation_demand import OrganisationDemand
from savorychute.gateway.admission.returning_callers import ReturningCallers
from savorychute.gateway.dispatch.rank_limits import is_last_tier

if TYPE_CHECKING:
    import random

    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.dispatch.shortages import Shortages

# A request above the last tier that is refused is considered once more, for the engines
# of all partitions.  What counts is the share that is refused both times: uneven shares
# of a single draw would refuse more of the tier than even ones.
HIGHER_TIER_DRAWS = 2


class Competition:
    """Rules that apply in addition to the load limits of engines.

    :param rng: draws requests and delays.
    :param shortages: tiers that are not served and for which lower tiers are shed.
    """

    def __init__(self, rng: random.Random, shortages: Shortages) -> None:
        self.deadlines = DeadlineCheck(rng, shortages)
        self.returns = ReturningCallers()
        self.demand = OrganisationDemand()
        self.rng = rng

    def refused_share(
        self,
        service: str,
        requirements: RequestRequirements,
        share: float,
        now_ms: int,
    ) -> float:
        """Return the share to refuse of requests like one.

        :param service: the service that it is for.
        :param requirements: its requirements.
        :param share: the share of all requests of its rank to refuse.
        :param now_ms: the current time.
        """
        rank = requirements.rank
        draws = 1 if is_last_tier(rank) else HIGHER_TIER_DRAWS
        refused = self.demand.refused_share(
            service, rank, requirements.organisation, share**draws, now_ms
        )
        refused = self.returns.refused_share(
            service, rank, requirements.returned, refused, now_ms
        )
        return float(refused ** (1 / draws))
