"""Signals, restarts and changed settings in quick series, at one gateway or several."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from benches.gateway_soak.site import GatewayProcess, Site

SERIES_INTERVAL_S = (0.3, 2.0)
STEP_INTERVAL_S = (0.0, 0.25)
STEPS = (2, 8)
PAUSE_S = (0.05, 1.5)
MAX_RELOADS = 4
STEP_NAMES = ('reload', 'signal', 'configure', 'suspend', 'stop', 'kill')


class SignalSeries:
    """Sends series of signals that overlap with each other and with faults.

    :param site: the gateways.
    :param rng: random numbers for all choices.
    """

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng

    async def run(self) -> None:
        """Start series until the task is cancelled, then let them end."""
        series = []
        try:
            while True:
                series.append(asyncio.create_task(self._play_series()))
                await asyncio.sleep(self._rng.uniform(*SERIES_INTERVAL_S))
        finally:
            await asyncio.gather(*series)

    async def _play_series(self) -> None:
        """Play some steps at one gateway, or each at another one."""
        self._site.ledger.traffic['series'] += 1
        same = self._rng.choice(self._site.gateways)
        stays = self._rng.random() < 0.5
        for _ in range(self._rng.randint(*STEPS)):
            gateway = same if stays else self._rng.choice(self._site.gateways)
            await self._take_step(gateway, self._rng.choice(STEP_NAMES))
            await asyncio.sleep(self._rng.uniform(*STEP_INTERVAL_S))

    async def _take_step(self, gateway: GatewayProcess, name: str) -> None:
        if name == 'configure':
            self._site.write_configuration()
        elif name == 'reload':
            gateway.change_settings(self._rng)
            self._reload(gateway)
        elif name == 'signal':
            for _ in range(self._rng.randint(1, MAX_RELOADS)):
                self._reload(gateway)
        elif name == 'suspend':
            with self._site.ledger.store_unreachable():
                gateway.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
                gateway.send_signal(signal.SIGCONT)
        else:
            await self._restart(gateway, name == 'kill')

    def _reload(self, gateway: GatewayProcess) -> None:
        """Request a reload; the signal would end a process that is still loading."""
        if gateway.has_read_settings():
            gateway.send_signal(signal.SIGHUP)

    async def _restart(self, gateway: GatewayProcess, is_killed: bool) -> None:
        """End a gateway and start it again; at times it is signalled as it ends."""
        gateway.send_signal(signal.SIGKILL if is_killed else signal.SIGTERM)
        if self._rng.random() < 0.5:
            await asyncio.sleep(self._rng.uniform(*STEP_INTERVAL_S))
            self._reload(gateway)
        await gateway.wait_or_kill()
        await gateway.start()
