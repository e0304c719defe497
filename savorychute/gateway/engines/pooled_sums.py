"""Sums of the observations of one engine by several instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.engines.cell_sums import MAX_CELL_WEIGHT, CellSums
from savorychute.gateway.engines.weighted_median import weighted_median

if TYPE_CHECKING:
    from collections.abc import Sequence

    # The instance that sent them, and the values of CellSums.
    SentSums = tuple[int, float, float, float, float]

# By which factor the rate that one instance observed may differ from that of others.
MAX_DISAGREEMENT = 3.0
# Recent weights below this no longer change a comparison.
MIN_RECENT_WEIGHT = 0.01


def pool_sums(sent: Sequence[SentSums]) -> CellSums:
    """Return the sums of the observations of several instances.

    What one instance sent, also of others, has the weight of one instance at most.  Each
    rate counts as within a factor of ``MAX_DISAGREEMENT`` of the weighted median, so that
    false values of one instance move the result by no more than its share of the weight.

    :param sent: the sums of each instance as of the same time, at least one.
    """
    if len(sent) == 1:
        return CellSums(*sent[0][1:])
    sent = _limit_senders(sent)
    weight, rate = _pool([(each[2], each[1]) for each in sent])
    recent = [(each[4], each[3]) for each in sent if each[3] > MIN_RECENT_WEIGHT]
    if not recent:
        return CellSums(weight, rate, 0.0, rate)
    return CellSums(weight, rate, *_pool(recent))


def _limit_senders(sent: Sequence[SentSums]) -> Sequence[SentSums]:
    if sum([each[1] for each in sent]) <= MAX_CELL_WEIGHT:
        return sent
    weights: dict[int, float] = {}
    for each in sent:
        weights[each[0]] = weights.get(each[0], 0.0) + each[1]
    shares = {
        via: min(1.0, MAX_CELL_WEIGHT / weight) for via, weight in weights.items()
    }
    return [
        (via, weight * shares[via], rate, recent_weight * shares[via], recent_rate)
        for via, weight, rate, recent_weight, recent_rate in sent
    ]


def _pool(rates: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the weight and the mean of rates with their weights."""
    if len(rates) == 1:
        return rates[0][1], rates[0][0]
    median = weighted_median(rates)
    low, high = median / MAX_DISAGREEMENT, median * MAX_DISAGREEMENT
    total = weight = 0.0
    for rate, each in rates:
        weight += each
        if rate < low:
            total += low * each
        elif rate > high:
            total += high * each
        else:
            total += rate * each
    return weight, total / weight
