"""How many requests want to run, by pool."""

from __future__ import annotations

from typing import NamedTuple


class _Demand(NamedTuple):
    by_tier: dict[int, int]
    noted_ms: int


class PoolDemand:
    """The newest demand of each pool.

    A pool that has run empty may not be mentioned again, so what is not
    renewed is dropped.

    :param memory_ms: after how long.
    """

    def __init__(self, memory_ms: int) -> None:
        self.memory_ms = memory_ms
        self._pools: dict[str, _Demand] = {}

    def set(self, pool: str, by_tier: dict[int, int], now_ms: int) -> None:
        """Note the demand of a pool.

        :param pool: a model or ``service:`` and a service.
        :param by_tier: requests that want to run.
        :param now_ms: the time.
        """
        self._pools[pool] = _Demand(dict(by_tier), now_ms)

    def of(self, pool: str) -> dict[int, int]:
        """Return the demand of a pool by tier.

        :param pool: a model or ``service:`` and a service.
        """
        demand = self._pools.get(pool)
        return {} if demand is None else demand.by_tier

    def forget_old(self, now_ms: int) -> None:
        """Drop what was not renewed.

        :param now_ms: the time.
        """
        self._pools = {
            pool: demand
            for pool, demand in self._pools.items()
            if now_ms - demand.noted_ms < self.memory_ms
        }
