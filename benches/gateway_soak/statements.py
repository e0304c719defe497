"""Endpoints that state limits, and a judge of the calls they get."""

from __future__ import annotations

import asyncio
from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from benches.gateway_soak.endpoint import SoakEndpoint
    from benches.gateway_soak.site import Site

GAP_S = 1.0
# A limit is kept within a span, from some time after its first statement on.
SPAN_S = 4.0
NOTICE_S = 3.0
LIMITS_PER_S = (1, 3, 10, 30)
LIMIT_S = 9.0
TOLD_S = 0.5
# Faults last up to about so long; one that began before a span may reach into it.
FAULT_S = 4.0


class Stated(NamedTuple):
    """What an endpoint stated from one time to another."""

    kind: str
    endpoint: SoakEndpoint
    name: str
    from_s: float
    until_s: float
    limit_per_s: float = 0.0


class StatementDrill:
    """Lets endpoints state things, one after the other, and judges what they get.

    Gateways that start, end, freeze or wake, or do not reach the endpoint, do not know what
    it stated, so only times without such an event are judged.

    :param site: of the endpoints.
    :param rng: the source of its choices.
    """

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._stated: list[Stated] = []

    async def run(self) -> None:
        """State things until the task is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                await asyncio.sleep(self._rng.random() * GAP_S)
                endpoint = self._rng.choice(self._site.endpoints)
                if endpoint.stated or endpoint.drained_s is not None:
                    continue
                tasks.create_task(self._limit(endpoint))

    async def _limit(self, endpoint: SoakEndpoint) -> None:
        limit_per_s = self._rng.choice(LIMITS_PER_S)
        endpoint.stated = (('server-limit', str(limit_per_s)),)
        await self._keep('limit', endpoint, LIMIT_S, limit_per_s)

    async def _keep(
        self, kind: str, endpoint: SoakEndpoint, lasts_s: float, limit_per_s: float = 0
    ) -> None:
        loop = asyncio.get_running_loop()
        name, from_s = endpoint.name, loop.time()
        try:
            await asyncio.sleep(lasts_s)
        finally:
            endpoint.stated = ()
        stated = Stated(kind, endpoint, name, from_s, loop.time(), limit_per_s)
        self._stated.append(stated)

    def check(self) -> list[str]:
        """Return what endpoints got beyond what they stated."""
        found = [self._judge(each) for each in self._stated]
        return [line for line in found if line]

    @property
    def judged(self) -> int:
        """How many statements there were."""
        return len(self._stated)

    def _judge(self, stated: Stated) -> str:
        if stated.endpoint.name != stated.name:
            # Another run has the address, and has stated nothing before.
            return ''
        return self._judge_limit(stated)

    def _judge_limit(self, stated: Stated) -> str:
        # Calls of before, and those that crossed the statement, are no breach.
        told_s = stated.from_s + 2 * TOLD_S
        calls_s = _between(stated.endpoint.calls_s, told_s, stated.until_s)
        allowed = 1.5 * stated.limit_per_s * SPAN_S + 5
        for at_s in _between(calls_s, stated.from_s + NOTICE_S, stated.until_s):
            got = len(_between(calls_s, at_s - SPAN_S, at_s))
            if got > allowed and self._is_calm(stated, at_s - SPAN_S, at_s):
                return (
                    f'{stated.endpoint.name}: {got} calls in {SPAN_S} s '
                    f'until {at_s - stated.from_s:.1f} s after its statement, '
                    f'{allowed} allowed by its limit'
                )
        return ''

    def _is_calm(self, stated: Stated, from_s: float, until_s: float) -> bool:
        """Return whether all gateways ran and reached the endpoint."""
        proxy = stated.endpoint.proxy
        assert proxy is not None
        gateways = [gateway.events_s for gateway in self._site.gateways]
        return not any(
            _between(events_s, from_s - FAULT_S, until_s)
            for events_s in (proxy.events_s, *gateways)
        )


def _between(times_s: Sequence[float], from_s: float, until_s: float) -> list[float]:
    """Return the times of a sorted list that lie between two."""
    begin = bisect_left(times_s, from_s)
    return list(times_s[begin : bisect_right(times_s, until_s)])
