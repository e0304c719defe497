"""Endpoints that state limits, leave or ask for rest, and a judge of the calls they get."""

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
# From the first answer that says so to the time from which on nothing new may come.
DRAIN_S = 2.0
LEAVE_S = 4.0
REST_S = 2.0
TOLD_S = 0.5
# Faults last up to about so long; one that began before a span may reach into it.
FAULT_S = 4.0
# The call that is turned away, and those that the users' rule allows an instance besides.
MOST_CALLS = 3


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
                kind = self._rng.choice([self._limit, self._leave, self._rest])
                tasks.create_task(kind(endpoint))

    async def _limit(self, endpoint: SoakEndpoint) -> None:
        limit_per_s = self._rng.choice(LIMITS_PER_S)
        endpoint.stated = (('server-limit', str(limit_per_s)),)
        await self._keep('limit', endpoint, LIMIT_S, limit_per_s)

    async def _leave(self, endpoint: SoakEndpoint) -> None:
        """Say so in answers alone: the entry goes on being ready."""
        await self._site.add_endpoint(endpoint.service)
        endpoint.stated = (('server-leaving', '1'),)
        await self._keep('leaving', endpoint, LEAVE_S)
        self._site.remove_entry(endpoint)

    async def _rest(self, endpoint: SoakEndpoint) -> None:
        endpoint.stated = (('retry-after', str(REST_S)),)
        endpoint.full = True
        try:
            await self._keep('rest', endpoint, REST_S)
        finally:
            endpoint.full = False

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
        if stated.kind == 'limit':
            return self._judge_limit(stated)
        if stated.kind == 'leaving':
            return self._judge_leaving(stated)
        return self._judge_rest(stated)

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

    def _judge_leaving(self, stated: Stated) -> str:
        runs_s = stated.endpoint.runs_s
        told = _between(runs_s, stated.from_s, stated.until_s)
        if not told:
            return ''
        for at_s in _between(runs_s, told[0] + NOTICE_S + DRAIN_S, float('inf')):
            if self._is_calm(stated, told[0], at_s):
                late_s = at_s - told[0]
                return f'{stated.endpoint.name}: run {late_s:.2f} s after it said it leaves'
        return ''

    def _judge_rest(self, stated: Stated) -> str:
        calls_s = _between(stated.endpoint.calls_s, stated.from_s, stated.until_s)
        most = MOST_CALLS * len(self._site.gateways)
        if len(calls_s) > most and self._is_calm(stated, stated.from_s, stated.until_s):
            return f'{stated.endpoint.name}: {len(calls_s)} calls in a rest, {most} allowed'
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
