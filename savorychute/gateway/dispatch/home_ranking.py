"""The order in which engines are homes of a shared prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord


class _Ranked(NamedTuple):
    affinity: str
    lane: Sequence[EndpointRecord]
    order: list[EndpointRecord]


class HomeRanking:
    """Ranks engines by a hash of prompt and engine, alike on all instances.

    A request is ranked when load reports are asked for and again when they have come;
    the last order is kept for that.  With it, and with the engines' names encoded once, a
    choice among 45 engines takes 34 µs instead of 114 (``benches.gateway_choice``).
    """

    def __init__(self) -> None:
        self._last = _Ranked('', (), [])

    def order(
        self, lane: Sequence[EndpointRecord], affinity: str
    ) -> list[EndpointRecord]:
        """Return the engines, the home of the prompt first.

        :param lane: the engines to rank.
        :param affinity: names the shared part of the prompt.
        """
        last = self._last
        if last.affinity == affinity and last.lane == lane:
            return last.order
        seed = xxhash.xxh3_64_intdigest(affinity.encode())
        digest = xxhash.xxh3_64_intdigest
        order = sorted(lane, key=lambda each: digest(each.hash_key, seed), reverse=True)
        self._last = _Ranked(affinity, lane, order)
        return order
