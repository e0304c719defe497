"""Dedicated engines for latency-sensitive streams."""

from __future__ import annotations

from math import ceil
from operator import attrgetter
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.engine_state import sensitive_stream_capacity
from savorychute.gateway.dispatch.placement_speeds import PlacementSpeeds

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.partition_demand import PartitionDemand
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# Below this share of the demand of either kind, engines are not partitioned.
MIN_DEMAND_SHARE = 0.02
# Instances observe slightly different demand.  Where the target size lies between two
# integers, latency-sensitive streams use the smaller size and all other requests avoid
# the larger one: an engine that instances assign to different partitions would serve
# both badly.
BOUNDARY_MARGIN = 0.25
# Maximum share of engines that is dedicated for the number of running streams when
# their share of the demand is lower; the rest prevents starvation of other requests.
MAX_STREAM_SHARE = 0.5
# Share of the capacity for which their demand calls that requests other than the streams
# keep if engines are uneven.  Without this limit the faster one of two engines was
# dedicated to a few streams, and three times as many of the others were not served.
MIN_OTHER_SHARE = 0.85

_partition_key = attrgetter('partition_key')


class _Ranked(NamedTuple):
    records: Sequence[EndpointRecord]
    weights: Sequence[float]
    ranked: list[tuple[EndpointRecord, float]]


class EnginePartition:
    """Partitions engines by demand: for latency-sensitive streams, and for the rest.

    All instances rank the engines by the same hash and observe about the same demand,
    so they arrive at about the same partitions.

    :param demand: engine time needed by either kind of request.
    :param speeds: tells the speed of each engine; all are equal if omitted.
    """

    def __init__(
        self, demand: PartitionDemand, speeds: PlacementSpeeds | None = None
    ) -> None:
        self._demand = demand
        self._speeds = speeds or PlacementSpeeds()
        self._last = _Ranked((), (), [])

    def select(
        self, records: Sequence[EndpointRecord], *, isolated: bool
    ) -> Sequence[EndpointRecord]:
        """Return the engines of a request's partition.

        :param records: all engines that the request may use, at least one.
        :param isolated: whether it is a stream that would miss its gap target beside
            long prompts.
        """
        target_size = self._target_size(records)
        if target_size is None:
            return records
        weights = self._speeds.weights(records)
        if weights is not None:
            ranked_weights = self._rank_by_speed(records, weights)
            return _select_by_speed(ranked_weights, target_size, isolated=isolated)
        ranked = sorted(records, key=_partition_key, reverse=True)
        max_size = len(records) - 1
        if isolated:
            return ranked[: min(max(round(target_size - BOUNDARY_MARGIN), 1), max_size)]
        return ranked[min(max(ceil(target_size - BOUNDARY_MARGIN), 1), max_size) :]

    def _rank_by_speed(
        self, records: Sequence[EndpointRecord], weights: Sequence[float]
    ) -> list[tuple[EndpointRecord, float]]:
        """Return engines and their weights, those first that suit streams best.

        The last result is kept: it changes only with the engines and their weights.
        """
        last = self._last
        if last.records != records or last.weights != weights:
            ranked = sorted(zip(records, weights, strict=True), key=_rank, reverse=True)
            last = self._last = _Ranked(records, weights, ranked)
        return last.ranked

    def _target_size(self, records: Sequence[EndpointRecord]) -> float | None:
        """Return the number of dedicated engines, or None for no partitions.

        The share of the demand alone gives too few engines while the rate of other
        requests is high: with summaries at 2.4 times their usual rate, streams that
        needed three engines got one, and the rest had long gaps beside summaries on
        other engines.  The number of running streams shows how many engines they need.
        """
        engines = len(records)
        if engines < 2:
            return None
        capacity = sensitive_stream_capacity(records[0].entry.slots)
        needed_engines = self._demand.sensitive_streams() / capacity
        target_size = max(
            engines * self._demand.sensitive_share(),
            min(needed_engines, MAX_STREAM_SHARE * engines),
        )
        min_size = MIN_DEMAND_SHARE * engines
        return target_size if min_size <= target_size <= engines - min_size else None


def _rank(weighted: tuple[EndpointRecord, float]) -> tuple[bool, float, int]:
    record, weight = weighted
    is_lasting, name_key = record.partition_key
    return is_lasting, weight, name_key


def _select_by_speed(
    ranked: Sequence[tuple[EndpointRecord, float]],
    target_size: float,
    *,
    isolated: bool,
) -> Sequence[EndpointRecord]:
    """Return the engines of a partition.

    The target size is a number of engines of mean speed, so of faster ones fewer are
    needed.  Steady speeds change by whole steps, so that the order changes rarely.  There
    is no boundary margin: with one, streams left their smaller partition for engines that
    prefill, and a third more requests failed where engines slow down when nearly full.

    :param ranked: engines and their weights, those first that suit streams best.
    :param target_size: number of engines of mean speed that streams need.
    :param isolated: whether the partition is that of latency-sensitive streams.
    """
    total = sum(weight for _, weight in ranked)
    needed = target_size / len(ranked) * total
    max_capacity = total - MIN_OTHER_SHARE * (1.0 - target_size / len(ranked)) * total
    dedicated: set[int] = set()
    capacity = 0.0
    for position, (_, weight) in enumerate(ranked):
        if capacity >= needed or len(dedicated) == len(ranked) - 1:
            break
        if capacity + weight <= max_capacity:
            dedicated.add(position)
            capacity += weight
    if not dedicated:
        dedicated.add(min(range(len(ranked)), key=lambda each: ranked[each][1]))
    return [
        record
        for position, (record, _) in enumerate(ranked)
        if (position in dedicated) is isolated
    ]
