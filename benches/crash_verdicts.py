"""What verdicts on crashing requests cost, and how soon they come, by their design.

Callers of many instances send requests with a part that crashes engines, on virtual
time.  Losses are told to all instances, each of which judges, or to one that judges for
all; suspects are confined to one engine at a time or not; verdicts are stored or not.
Only the decision logic of the instances runs; messages are encoded.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from benches.bench_row import BenchRow, make_row
from savorychute.gateway.recovery.crash_exchange import CrashExchange
from savorychute.gateway.recovery.verdict_news import VerdictNews
from savorychute.membership.rendezvous import choose_homes
from savorychute.testing.virtual_loop import run_virtual

sys.path.append(str(Path(__file__).parents[1] / 'tests' / 'test_gateway'))

from crash_simulation import CrashFleet
from test_crash_laws import Traffic

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.actions.send_peer import SendPeer

SETTLE_S = 11.0
CALM_S = 3.0
LEARNED_S = 6.0
PART = 'bad0'
SEEDS = (1, 2, 3)
KILL_ONE_INTERVAL_S = 0.5
KILL_ALL_INTERVAL_S = 2.0


class HomeExchange(CrashExchange):
    """Tells losses and successes only the one instance that judges for all."""

    def __init__(self, guard, rng, clock, timers):
        super().__init__(guard, rng, clock, timers)
        convict = guard.judge._convict

        def convict_at_home(service, evidence, now_ms):
            if self._find_home() == self.view.own.instance:
                convict(service, evidence, now_ms)

        guard.judge._convict = convict_at_home

    def connect(self, send) -> None:
        """Send reports to the home alone, verdicts to all."""

        def send_home(action: SendPeer) -> None:
            is_verdict = isinstance(action.message, VerdictNews)
            if is_verdict or action.instance == self._find_home():
                send(action)

        super().connect(send_home)

    def _find_home(self) -> str:
        if self.view is None:
            return ''
        return choose_homes('crashes', self.view.alive, 1)[0].instance


class Size(NamedTuple):
    """The numbers of instances and engines, the rates, and how long it is measured."""

    instances: int
    engines: int
    sound_per_s: float
    bad_per_s: float
    seconds: float


class Design(NamedTuple):
    """Where losses are judged, whether suspects are confined, and verdicts stored."""

    name: str
    exchange: type[CrashExchange] = CrashExchange
    has_lanes: bool = True
    is_store_used: bool = True


SIZES = (
    Size(8, 12, 40.0, 8.0, 16.0),
    Size(65, 30, 200.0, 20.0, 14.0),
    Size(530, 160, 800.0, 40.0, 12.0),
)
DESIGNS = (
    Design('all judge'),
    Design('all judge, no lanes', has_lanes=False),
    Design('one judges', exchange=HomeExchange),
    Design('all judge, no store', is_store_used=False),
)
# Of the instances, killed at once and again and again; 0 kills one.
KILLED_SHARES = {'none': None, 'one': 0.0, 'all': 1.0}


def run(repeats: int, rng: random.Random) -> list[BenchRow]:  # noqa: ARG001
    """Measure each size, design and loss of instances.

    :param repeats: not used.
    :param rng: not used.
    """
    rows = []
    for size in SIZES:
        seeds = SEEDS if size.instances < 500 else SEEDS[:1]
        for design in DESIGNS:
            for loss, share in KILLED_SHARES.items():
                fleets = [_play(size, design, share, seed) for seed in seeds]
                rows += _make_rows(size, design, loss, fleets)
    return rows


def _make_rows(
    size: Size, design: Design, loss: str, fleets: Sequence[CrashFleet]
) -> list[BenchRow]:
    label = f'{size.instances}, {design.name}, {loss} killed'
    ended = sum(len(fleet.crash_times(PART)) for fleet in fleets) / len(fleets)
    late = max(fleet.count_late(PART) for fleet in fleets)
    learned_s = SETTLE_S + CALM_S + LEARNED_S
    ends_s = SETTLE_S + CALM_S + size.seconds
    share = min(fleet.share_begun(learned_s, ends_s) for fleet in fleets)
    sent = sum(fleet.messages.total() for fleet in fleets) / len(fleets)
    sent_bytes = sum(fleet.message_bytes for fleet in fleets) / len(fleets)
    calls = sum(fleet.store.calls.total() for fleet in fleets) / len(fleets)
    return [
        make_row(f'{label}: engines ended', ended, 'engines', 0.0),
        make_row(f'{label}: too late', late, 'requests', 0.0),
        make_row(f'{label}: sound ones that begin', share, 'share', 1.0),
        make_row(f'{label}: messages', sent / size.instances, 'each', 0.0),
        make_row(f'{label}: bytes', sent_bytes / size.instances, 'B each', 0.0),
        make_row(f'{label}: calls to the store', calls, 'calls', 0.0),
    ]


def _play(size: Size, design: Design, share: float | None, seed: int) -> CrashFleet:
    async def main() -> CrashFleet:
        fleet = CrashFleet(
            size.instances,
            seed,
            size.engines,
            has_lanes=design.has_lanes,
            is_store_used=design.is_store_used,
            exchange=design.exchange,
            count_bytes=True,
        )
        traffic = Traffic(fleet.rng)
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        fleet.messages.clear()
        fleet.message_bytes = 0
        fleet.store.calls.clear()
        async with asyncio.TaskGroup() as group:
            sound = fleet.send(
                traffic.make_sound,
                size.sound_per_s,
                CALM_S + size.seconds,
                fleet.first_tries,
            )
            group.create_task(sound)
            await asyncio.sleep(CALM_S)
            killing = asyncio.create_task(_kill(fleet, share))
            bad = fleet.send(traffic.make_bad, size.bad_per_s, size.seconds)
            group.create_task(bad)
            await asyncio.sleep(size.seconds)
            killing.cancel()
        await fleet.stop()
        return fleet

    return run_virtual(main(), sockets=False)


async def _kill(fleet: CrashFleet, share: float | None) -> None:
    while share is not None:
        await asyncio.sleep(KILL_ALL_INTERVAL_S if share else KILL_ONE_INTERVAL_S)
        alive = fleet.alive()
        fleet.kill(fleet.rng.sample(alive, max(1, round(share * len(alive)))))
