"""Number of requests that run or wait, by pool."""

from __future__ import annotations

from typing import NamedTuple


class _Demand(NamedTuple):
    by_tier: dict[int, int]
    recorded_ms: int


class PoolDemand:
    """The latest demand of each pool.

    A pool that has become empty may not be reported again, so demand that is not
    renewed is dropped.

    :param memory_ms: time after which demand is dropped.
    """

    def __init__(self, memory_ms: int) -> None:
        self.memory_ms = memory_ms
        self._pools: dict[str, _Demand] = {}

    def set(self, pool: str, by_tier: dict[int, int], now_ms: int) -> None:
        """Set the demand of a pool.

        :param pool: a model name, or ``service:`` followed by a service name.
        :param by_tier: number of requests that run or wait, by tier.
        :param now_ms: the current time.
        """
        self._pools[pool] = _Demand(dict(by_tier), now_ms)

    def of(self, pool: str) -> dict[int, int]:
        """Return the demand of a pool by tier.

        :param pool: a model name, or ``service:`` followed by a service name.
        """
        demand = self._pools.get(pool)
        return {} if demand is None else demand.by_tier

    def drop_expired(self, now_ms: int) -> None:
        """Drop demand that was not renewed.

        :param now_ms: the current time.
        """
        self._pools = {
            pool: demand
            for pool, demand in self._pools.items()
            if now_ms - demand.recorded_ms < self.memory_ms
        }
