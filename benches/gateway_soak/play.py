"""One seed of the soak."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from benches.gateway_soak.callers import Caller
from benches.gateway_soak.faults import FAULTS
from benches.gateway_soak.ledger import Ledger
from benches.gateway_soak.platform import go_back_now_and_then
from benches.gateway_soak.site import Site
from benches.gateway_soak.statements import StatementDrill

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

START_S = 60.0
LOOK_S = 0.05
CALM_S = 2.0
GAP_S = 1.2
SETTLE_S = 6.0
# Faults that leave gateways longer undisturbed, so that what endpoints get can be judged.
OF_GATEWAYS = ('kill', 'kill-all', 'stop', 'pause')
CALMER = [name for name in FAULTS if name not in OF_GATEWAYS] * 4 + list(OF_GATEWAYS)
# Of the answers in the calm seconds at the end.
LEAST_SERVED = 0.9


class Result(NamedTuple):
    """Counts of answers and of faults, and the promises that were broken."""

    counts: dict[str, int]
    faults: dict[str, int]
    broken: list[str]


async def play(
    rng: random.Random,
    folder: Path,
    seconds: float,
    gateways: int,
    callers: int,
    settle: bool = True,
    older_copies: bool = False,
    statements: bool = False,
) -> Result:
    """Run gateways under load, disturb them, let them settle, and check.

    :param rng: decides everything that is decided here.
    :param folder: for settings and logs.
    :param seconds: how long there are faults.
    :param gateways: how many processes.
    :param callers: how many connections send.
    :param settle: wait for calm, and check that nearly all is served again.
    :param older_copies: let the store go back now and then, and report usage.
    :param statements: let endpoints state limits, leave and ask for rest.
    """
    ledger = Ledger()
    site = Site(folder, ledger, rng)
    counts: Counter[str] = Counter()
    await site.start(gateways, duties=older_copies)
    senders = [
        asyncio.create_task(Caller(number, site, ledger, rng).run())
        for number in range(callers)
    ]
    drills = []
    if older_copies:
        own_rng = random.Random(rng.random())
        drill = asyncio.create_task(go_back_now_and_then(site, own_rng))
        drills.append(drill)
    stating = StatementDrill(site, random.Random(rng.random())) if statements else None
    try:
        await _until_served(ledger)
        await asyncio.sleep(CALM_S)
        if stating is not None:
            drills.append(asyncio.create_task(stating.run()))
        await _disturb(site, seconds, counts, CALMER if statements else list(FAULTS))
        for drill in drills:
            drill.cancel()
            await asyncio.gather(drill, return_exceptions=True)
        site.store.mode = 'up'
        if older_copies:
            site.write_lost()
        broken = await _check_recovery(ledger) if settle else []
    finally:
        for sender in (*senders, *drills):
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        await site.end()
    codes = [each.process.returncode for each in site.gateways if each.process]
    # A negative code is that of a signal, which only the soak sends.
    if any(code is not None and code > 0 for code in codes):
        broken.append(f'a gateway ended with codes {codes}')
    broken.extend(_find_defects(folder))
    if stating is not None:
        ledger.counts['statements'] = stating.judged
        broken.extend(stating.check())
    if site.platform is not None:
        ledger.counts['windows'] = site.platform.windows
        broken.extend(site.platform.check())
    return Result(dict(ledger.counts), dict(counts), broken + ledger.check())


async def _until_served(ledger: Ledger) -> None:
    """Wait until a gateway answers; a busy machine takes seconds to start one."""
    async with asyncio.timeout(START_S):
        while not ledger.counts['200']:
            await asyncio.sleep(LOOK_S)


async def _disturb(
    site: Site, seconds: float, counts: Counter[str], names: Sequence[str]
) -> None:
    """Begin faults one after the other; they overlap."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    running = []
    while loop.time() < end_s:
        name = site.rng.choice(names)
        counts[name] += 1
        running.append(loop.create_task(FAULTS.get(name)(site)))
        await asyncio.sleep(site.rng.random() * GAP_S)
    await asyncio.gather(*running)
    for gateway in site.gateways:
        gateway.send(signal.SIGCONT)


async def _check_recovery(ledger: Ledger) -> list[str]:
    """Return what is wrong with the calm seconds after all faults."""
    await asyncio.sleep(SETTLE_S)
    before = Counter(ledger.counts)
    await asyncio.sleep(CALM_S)
    fresh = Counter(ledger.counts) - before
    if fresh['200'] < LEAST_SERVED * sum(fresh.values()) or not fresh['200']:
        return [f'not recovered: {dict(fresh)} in {CALM_S} s of calm']
    return []


def _find_defects(folder: Path) -> list[str]:
    """Return the tracebacks of the gateways."""
    return [
        f'{path.name}: a traceback'
        for path in sorted(folder.glob('gateway-*.log'))
        if b'Traceback' in path.read_bytes() or b'library-logged' in path.read_bytes()
    ]
