"""Weights by which requests that leave their partition draw an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.engine_state import (
    free_slots,
    sensitive_stream_headroom,
    unused_slots,
)
from savorychute.gateway.dispatch.urgent_usage import used_share

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.partition_demand import PartitionDemand
    from savorychute.gateway.dispatch.wait_forecast import WaitForecast
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# Time to prefill what waits at an engine that reduces its weight to a quarter.
PREFILL_SCALE_MS = 100.0
# An engine with less to prefill suits streams as well as one of their partition.
LITTLE_PREFILL_MS = 50.0
# Slots up to this share are used first: other instances also send streams before the
# next report.
PREFERRED_SHARES = (0.9, 1.0)
# More free slots than this do not make an engine better for a prompt.
ENOUGH_SLOTS = 8
# An engine whose slots are all held by more urgent streams has the weight of one where a
# prompt waits for this many times ``PREFILL_SCALE_MS``.
URGENT_STREAMS_COST = 8.0


class OverflowWeights:
    """Keeps streams that exceed their partition apart from prompts.

    A stream holds its slot several times as long beside prefills as beside other
    streams.  If streams were drawn to the engines with the fewest streams, which are
    those that prefill, they would soon hold all slots.  So streams prefer engines with
    little to prefill, and prompts prefer engines with few more urgent streams.

    :param forecast: predicts the time that engines prefill.
    :param demand: tells the number of instances.
    """

    def __init__(self, forecast: WaitForecast, demand: PartitionDemand) -> None:
        self._forecast = forecast
        self._demand = demand

    def for_stream(
        self, engines: Sequence[EndpointRecord], rank: int, now_ms: int
    ) -> list[float]:
        """Return weights for a latency-sensitive stream.

        They are all 0 if the stream would preempt another one everywhere.

        :param engines: the engines of all partitions.
        :param rank: rank of the stream.
        :param now_ms: the current time.
        """
        prefills_ms = [self._forecast.prefill_ms(each, now_ms) for each in engines]
        weights = [
            sensitive_stream_headroom(each, rank, now_ms)
            if prefill_ms <= LITTLE_PREFILL_MS
            else 0.0
            for each, prefill_ms in zip(engines, prefills_ms, strict=True)
        ]
        instances = self._demand.instances
        for share in PREFERRED_SHARES:
            if any(weights):
                break
            weights = [
                unused_slots(each, rank, now_ms, instances, share)
                * _weigh_cost(prefill_ms)
                for each, prefill_ms in zip(engines, prefills_ms, strict=True)
            ]
        return weights

    def for_prompt(self, choices: Sequence[Choice], now_ms: int) -> list[float]:
        """Return weights for a prompt.

        They are all 0 if no engine has a slot for it.

        :param choices: the engines, with the expected waits.
        :param now_ms: the current time.
        """
        return [self._weigh_for_prompt(each, now_ms) for each in choices]

    def _weigh_for_prompt(self, choice: Choice, now_ms: int) -> float:
        record, rank = choice.record, choice.rank
        slots = free_slots(record, rank, now_ms, self._demand.instances)
        urgent_share = used_share([record], rank, now_ms) or 0.0
        cost_ms = choice.wait_ms
        cost_ms += URGENT_STREAMS_COST * PREFILL_SCALE_MS * urgent_share
        return min(1.0, slots / ENOUGH_SLOTS) * _weigh_cost(cost_ms)


def _weigh_cost(cost_ms: float) -> float:
    return 1.0 / (1.0 + cost_ms / PREFILL_SCALE_MS) ** 2
