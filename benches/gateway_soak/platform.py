"""A stand-in receiver of usage reports, and restores of the store from old copies."""

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
FENCED_STATUS = 409
# Share of the calls whose response is lost.
LOST_SHARE = 0.2
# Time between two restores, length of the outage, and age of the restored copy.
RESTORE_INTERVAL_S = (2.0, 5.0)
OUTAGE_S = (0.05, 0.8)
COPY_AGE_S = (0.2, 4.0)
# The operator and the endpoints rewrite lost entries within this time.
REWRITE_S = 0.5


class PlatformStandIn:
    """Receives usage reports, checks fencing tokens and finds duplicate reports.

    :param rng: chooses the responses that are lost.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._highest_fencing = 0
        self._reports: dict[int, set[str]] = defaultdict(set)
        self._holders: dict[int, set[str]] = defaultdict(set)
        self.port = 0

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Serve calls until the block ends."""
        async with serve(self._handle_report, LOOPBACK, 0) as server:
            self.port = server.port
            yield

    def _handle_report(self, exchange: ServerExchange) -> None:
        headers = dict(exchange.request.headers)
        fencing = int(headers['fencing-token'])
        self._holders[fencing].add(headers['duty-holder'])
        if fencing < self._highest_fencing:
            respond_json(exchange, FENCED_STATUS, {})
            return
        self._highest_fencing = fencing
        report = json.loads(exchange.request.body)
        counts = json.dumps(report['counts'], sort_keys=True)
        self._reports[report['windowId']].add(counts)
        if self._rng.random() < LOST_SHARE:
            exchange.abort()
        else:
            respond_json(exchange, 200, {})

    @property
    def windows(self) -> int:
        """Number of windows that have a report."""
        return len(self._reports)

    def check(self) -> list[str]:
        """Return the guarantees that were violated."""
        violations = [
            f'window {window} has {len(counts)} reports'
            for window, counts in self._reports.items()
            if len(counts) > 1
        ]
        violations += [
            f'fencing number {fencing} was used by {sorted(holders)}'
            for fencing, holders in self._holders.items()
            if len(holders) > 1
        ]
        return violations


async def restore_older_copies(site: Site, rng: random.Random) -> None:
    """Restore the store from older copies until the task is cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(*RESTORE_INTERVAL_S))
        with site.ledger.store_unreachable():
            site.set_store_mode('busy')
            await asyncio.sleep(rng.uniform(*OUTAGE_S))
            site.store.go_back(rng.uniform(*COPY_AGE_S))
            site.set_store_mode('up')
            await asyncio.sleep(rng.uniform(0, REWRITE_S))
            site.rewrite_lost()
            await asyncio.sleep(REWRITE_S)
