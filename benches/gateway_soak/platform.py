"""What takes the usage reports of a soak, and a store that goes back."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.testing.stand_in_http import respond_json, serve

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from benches.gateway_soak.site import Site
    from savorychute.http.server_exchange import ServerExchange

LOOPBACK = '127.0.0.1'
STATUS_FENCED = 409
# Part of the calls whose answer is lost.
LOST_SHARE = 0.2
# Between two older copies, how long the store is away, and how old the copy is.
GAP_S = (2.0, 5.0)
AWAY_S = (0.05, 0.8)
COPY_S = (0.2, 4.0)
# Within this the operator and the endpoints write again what was lost.
AGAIN_S = 0.5


class PlatformStandIn:
    """Checks fencing numbers, and that no window has two reports.

    :param rng: decides which answers are lost.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._highest = 0
        self._reports: dict[int, set[str]] = defaultdict(set)
        self._holders: dict[int, set[str]] = defaultdict(set)
        self.port = 0

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Take calls until the block ends."""
        async with serve(self._take, LOOPBACK, 0) as server:
            self.port = server.port
            yield

    def _take(self, exchange: ServerExchange) -> None:
        headers = dict(exchange.request.headers)
        fencing = int(headers['fencing-token'])
        self._holders[fencing].add(headers['duty-holder'])
        if fencing < self._highest:
            respond_json(exchange, STATUS_FENCED, {})
            return
        self._highest = fencing
        report = json.loads(exchange.request.body)
        counts = json.dumps(report['counts'], sort_keys=True)
        self._reports[report['windowId']].add(counts)
        if self._rng.random() < LOST_SHARE:
            exchange.abort()
        else:
            respond_json(exchange, 200, {})

    @property
    def windows(self) -> int:
        """How many windows have a report."""
        return len(self._reports)

    def check(self) -> list[str]:
        """Return the promises that were broken."""
        broken = [
            f'window {window} has {len(counts)} reports'
            for window, counts in self._reports.items()
            if len(counts) > 1
        ]
        broken += [
            f'number {fencing} was used by {sorted(holders)}'
            for fencing, holders in self._holders.items()
            if len(holders) > 1
        ]
        return broken


async def go_back_now_and_then(site: Site, rng: random.Random) -> None:
    """Let the store come back from an older copy, until the task is cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(*GAP_S))
        with site.ledger.out_of_touch():
            site.store.mode = 'busy'
            await asyncio.sleep(rng.uniform(*AWAY_S))
            site.store.go_back(rng.uniform(*COPY_S))
            site.store.mode = 'up'
            await asyncio.sleep(rng.uniform(0, AGAIN_S))
            site.write_lost()
            await asyncio.sleep(AGAIN_S)
