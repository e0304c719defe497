"""Keeps streams that must not pause away from long prompts."""

from __future__ import annotations

from math import ceil
from operator import attrgetter
from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.engine_state import steady_capacity

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.lane_demand import LaneDemand
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# With less than this of one kind there is nothing to keep apart.
LEAST_SHARE = 0.02
# Instances differ in what they see.  Where the wanted size lies between two, steady
# streams take the smaller one and long prompts leave out the larger one: an engine that
# some instances count to one lane and some to the other would serve both badly.
MARGIN = 0.25
# Part of all engines that steady streams may need beyond their share of the demand: the
# rest is for the other requests, which must not starve.
MOST_NEEDED_SHARE = 0.5

_lane_key = attrgetter('lane_key')


class LaneSplit:
    """Divides engines into a steady lane and a lane for all else, by demand.

    All instances rank the engines by the same hash and know about the same demand, so they
    arrive at about the same lanes.

    :param demand: how much engine time each lane needs.
    """

    def __init__(self, demand: LaneDemand) -> None:
        self._demand = demand

    def lane(
        self, records: Sequence[EndpointRecord], *, apart: bool
    ) -> Sequence[EndpointRecord]:
        """Return the engines of a request's lane.

        :param records: all engines that it may use, at least one.
        :param apart: whether it is a stream that would be late beside long prompts.
        """
        wanted = self._wanted(records)
        if wanted is None:
            return records
        ranked = sorted(records, key=_lane_key, reverse=True)
        most = len(records) - 1
        if apart:
            return ranked[: min(max(round(wanted - MARGIN), 1), most)]
        return ranked[min(max(ceil(wanted - MARGIN), 1), most) :]

    def _wanted(self, records: Sequence[EndpointRecord]) -> float | None:
        """Return the size of the steady lane, in engines; None for no lanes.

        Its share of the demand is too little while all else bursts: with summaries at
        2.4 times their usual, streams that had needed three engines got one and paused
        beside the summaries on the others.  What runs says how many they need.
        """
        engines = len(records)
        if engines < 2:
            return None
        capacity = steady_capacity(records[0].entry.slots)
        needed = self._demand.steady_streams() / capacity
        wanted = max(
            engines * self._demand.steady_share(),
            min(needed, MOST_NEEDED_SHARE * engines),
        )
        least = LEAST_SHARE * engines
        return wanted if least <= wanted <= engines - least else None
