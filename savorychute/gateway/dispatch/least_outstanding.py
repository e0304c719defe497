"""Chooser for the endpoint with the fewest outstanding requests of this instance."""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.chooser import CHOOSERS, Choice

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.dispatch.partition_demand import PartitionDemand
    from savorychute.gateway.dispatch.placement_speeds import PlacementSpeeds
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# Cost of an endpoint that fails all requests, in outstanding requests per slot.
FAILURE_WEIGHT = 8.0
# Crossing a failure domain costs a network hop and paid traffic, but far less than a
# place in a queue.
DISTANCE_WEIGHT = 0.3
# Cost of an endpoint in a large response that has never ended one, in outstanding requests
# per slot.  One that sends without an end would get requests until the first has ended.
LARGE_RESPONSE_WEIGHT = 1.0


@CHOOSERS.register('least-outstanding')
class LeastOutstanding:
    """Compares requests in progress, failures above the median, and distance.

    :param failure_domain: the failure domain of this instance.
    :param rng: breaks ties, so that instances do not all choose the same endpoint.
    :param demand: not used.
    :param models: not used.
    :param speeds: not used.
    """

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        demand: PartitionDemand | None = None,  # noqa: ARG002
        models: EngineModels | None = None,  # noqa: ARG002
        speeds: PlacementSpeeds | None = None,  # noqa: ARG002
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng

    def endpoints_to_query(
        self,
        records: Sequence[EndpointRecord],  # noqa: ARG002
        requirements: RequestRequirements,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> list[EndpointRecord]:
        """Return an empty list: plain services report no load."""
        return []

    def choose(
        self,
        records: Sequence[EndpointRecord],
        requirements: RequestRequirements,  # noqa: ARG002
        now_ms: int,
    ) -> Choice:
        """Return the endpoint with the lowest cost."""
        median_share = median_low(
            [each.health.failure_share(now_ms) for each in records]
        )

        def cost(record: EndpointRecord) -> float:
            excess = max(0.0, record.health.failure_share(now_ms) - median_share)
            is_remote = record.entry.failure_domain != self._failure_domain
            outstanding_share = record.outstanding / max(1, record.entry.slots)
            return (
                outstanding_share
                + FAILURE_WEIGHT * excess
                + LARGE_RESPONSE_WEIGHT * record.may_be_endless
                + DISTANCE_WEIGHT * is_remote
                + self._rng.random() * DISTANCE_WEIGHT
            )

        best = min(records, key=cost)
        return Choice(best, 0, 0.0)
