"""Ranking of engines for a shared prompt; the first one is the home of the prompt."""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord


# Logarithm of the number of different digests of 64 bits.
LOG_DIGESTS = 64 * log(2)


class _Ranked(NamedTuple):
    affinity: str
    partition: Sequence[EndpointRecord]
    weights: Sequence[float] | None
    order: list[EndpointRecord]


class HomeRanking:
    """Ranks engines by rendezvous hashing of the prompt, identically on all instances.

    The home of a prompt is an engine, unlike the home of an endpoint, which is the
    instance that grants permits for it.

    A request is ranked before load reports are requested and again after they arrive;
    the last ranking is cached for the second time.  With this cache and with engine
    names encoded once, a choice among 45 engines takes 34 µs instead of 114
    (``benches.gateway_choice``).
    """

    def __init__(self) -> None:
        self._last = _Ranked('', (), None, [])

    def order(
        self,
        partition: Sequence[EndpointRecord],
        affinity: str,
        weights: Sequence[float] | None = None,
    ) -> list[EndpointRecord]:
        """Return the engines, the home of the prompt first.

        With weights, an engine is the home of a share of the prompts that is
        proportional to its weight, and a change of one weight moves only prompts from
        or to that engine.

        :param partition: the engines to rank.
        :param affinity: identifies the shared part of the prompt.
        :param weights: the engines' weights; all are equal if omitted.
        """
        last = self._last
        if (
            last.affinity == affinity
            and last.partition == partition
            and last.weights == weights
        ):
            return last.order
        seed = xxhash.xxh3_64_intdigest(affinity.encode())
        digest = xxhash.xxh3_64_intdigest
        if weights is None:
            order = sorted(
                partition, key=lambda each: digest(each.hash_key, seed), reverse=True
            )
        else:
            # The time until the first arrival of a process whose rate is the weight:
            # the least of several is each one's with the probability of its weight.
            times = [
                (LOG_DIGESTS - log(digest(each.hash_key, seed) + 0.5)) / weight
                for each, weight in zip(partition, weights, strict=True)
            ]
            positions = sorted(range(len(times)), key=times.__getitem__)
            order = [partition[position] for position in positions]
        self._last = _Ranked(affinity, partition, weights, order)
        return order
