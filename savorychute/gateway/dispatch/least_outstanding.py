"""The endpoint with the fewest requests of this instance."""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.chooser import CHOOSERS, Choice

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.dispatch.lane_demand import LaneDemand
    from savorychute.gateway.dispatch.need import Need
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# How much an endpoint that fails every request is avoided, in outstanding requests.
FAILURE_WEIGHT = 8.0
# Crossing a failure domain costs a network hop and priced bytes, but far less than a
# place in a queue.
DISTANCE_WEIGHT = 0.3


@CHOOSERS.register('least-outstanding')
class LeastOutstanding:
    """Compares outstanding requests, failures against the median, and distance.

    :param failure_domain: of this instance.
    :param rng: breaks ties, so that instances do not all choose the same.
    :param demand: not used.
    :param models: not used.
    """

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        demand: LaneDemand | None = None,  # noqa: ARG002
        models: EngineModels | None = None,  # noqa: ARG002
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng

    def wants_reports(
        self,
        records: Sequence[EndpointRecord],  # noqa: ARG002
        need: Need,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> list[EndpointRecord]:
        """Return none: plain services report nothing."""
        return []

    def choose(
        self,
        records: Sequence[EndpointRecord],
        need: Need,  # noqa: ARG002
        now_ms: int,
    ) -> Choice:
        """Return the endpoint with the least cost."""
        usual = median_low([each.health.failure_share(now_ms) for each in records])

        def cost(record: EndpointRecord) -> float:
            excess = max(0.0, record.health.failure_share(now_ms) - usual)
            far = record.entry.failure_domain != self._failure_domain
            places = record.outstanding / max(1, record.entry.slots)
            return (
                places
                + FAILURE_WEIGHT * excess
                + DISTANCE_WEIGHT * far
                + self._rng.random() * DISTANCE_WEIGHT
            )

        best = min(records, key=cost)
        return Choice(best, 0, 0.0)
