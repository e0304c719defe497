"""Plays callers whose prompts share parts while one part crashes engines."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

from crashing_engine import CrashingEngine, End, Journal
from fleet_fixture import KEY, run_fleet
from resuming_caller import ResumingCaller

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 600
GATEWAYS = 6
ENGINES = 12
# Longer than a started instance doubts what it knows.
SETTLE_S = 7.0
# Sound requests are sent alone for this long first.
CALM_S = 4.0
DURATION_S = 18.0
SOUND_CALLERS = 24
MAX_CALL_PAUSE_S = 0.6
BAD_CALLERS = 4
BAD_INTERVAL_S = 0.4
BAD_TRIES = 3
SYSTEM_PROMPTS = ('5a0', '5a1', '5a2')
DOCUMENTS = 30
BAD = 'bad0'
# The crash that shows beyond doubt that a part is bad, and the time to learn of it.
DECISIVE_CRASH = 5
LEARNING_S = 3.0
LATE_ARRIVALS = 3
DOWN_S = 0.3


class Shape(NamedTuple):
    """What differs between plays.

    ``prompts`` are the parts of the bad requests before their own one, from which each
    picks one list.  ``disturb`` is a coroutine function of the fleet and the journal.
    """

    prompts: tuple[tuple[str, ...], ...] = ((SYSTEM_PROMPTS[0], BAD),)
    bad_parts: tuple[str, ...] = (BAD,)
    end: End = End.RESET
    framed: bool = True
    disturb: object = None
    sound_callers: int = SOUND_CALLERS
    slots: int = 16
    gateways: int = GATEWAYS
    engines: int = ENGINES
    duration_s: float = DURATION_S


class Outcome(NamedTuple):
    """What engines and callers saw.

    ``late`` are the arrivals of bad requests after the decisive crash and the time to
    learn of it, for each part; ``before`` and ``after`` are the shares of first tries
    of sound requests that began.  ``streams`` are those of the sound requests.
    """

    crashes: list
    late: dict[str, int]
    before: float
    after: float
    streams: list
    bad_streams: list


class _Senders:
    """Which gateway received each attempt, and since when that gateway has run."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._started_s = {}
        self.runs = {}

    def list_addresses(self):
        addresses = []
        for gateway in self._fleet.gateways:
            if gateway.host is not None:
                self._started_s.setdefault(gateway.host, self._fleet.now_s())
            addresses.append(tuple(gateway.settings.caller_address))
        return addresses

    def record(self, attempt, address):
        """Record when the gateway that receives an attempt was started."""
        host = next(
            gateway.host
            for gateway in self._fleet.gateways
            if tuple(gateway.settings.caller_address) == address
        )
        self.runs[attempt] = self._started_s.get(host, float('inf'))


def make_headers(parts, rng):
    """Return the headers of a request with some parts and one of its own."""
    items = [f'{part}:100' for part in parts] + [f'{rng.getrandbits(48):x}:100']
    return (
        ('host', 'desk.example'),
        ('authorization', f'Bearer {KEY}'),
        ('model', 'm'),
        ('token-count', f'{100 * len(items)},80'),
        ('prefix-hash', ','.join(items)),
    )


async def _call_sound(fleet, number, streams, senders, ends_s):
    rng = random.Random(number)
    caller = ResumingCaller(
        rng, senders.list_addresses, fleet.now_s, max_tries=3, on_sent=senders.record
    )
    while fleet.now_s() < ends_s:
        document = min(int(rng.expovariate(0.2)), DOCUMENTS - 1)
        parts = (rng.choice(SYSTEM_PROMPTS), f'd0{document}')
        name = f's{number}-{fleet.now_s():.3f}'
        headers, body = make_headers(parts, rng), rng.randbytes(8)
        streams.append(await caller.call(name, headers, body=body))
        await asyncio.sleep(rng.uniform(0, MAX_CALL_PAUSE_S))


async def _call_bad(fleet, number, shape, senders, ends_s):
    rng = random.Random(1_000 + number)
    caller = ResumingCaller(
        rng,
        senders.list_addresses,
        fleet.now_s,
        max_tries=BAD_TRIES,
        on_sent=senders.record,
    )
    calls = set()
    while fleet.now_s() < ends_s:
        headers = make_headers(rng.choice(shape.prompts), rng)
        name = f'b{number}-{fleet.now_s():.3f}'
        call = caller.call(name, headers, body=rng.randbytes(8))
        calls.add(asyncio.create_task(call))
        await asyncio.sleep(BAD_INTERVAL_S * rng.uniform(0.5, 1.5))
    return await asyncio.gather(*calls)


def play(shape):
    """Return what engines and callers saw of a shape."""
    journal = Journal(shape.bad_parts)

    def make_engine(name):
        return CrashingEngine(name, journal, shape.end, shape.framed, shape.slots)

    async def main():
        running = run_fleet(
            shape.gateways,
            engines=shape.engines,
            make_engine=make_engine,
            has_marks=False,
        )
        async with asyncio.timeout(TEST_S), running as fleet:
            return await _play(fleet, shape, journal)

    return run_virtual(main())


async def _play(fleet, shape, journal):
    await asyncio.sleep(SETTLE_S)
    senders, streams = _Senders(fleet), []
    bad_from_s = fleet.now_s() + CALM_S
    ends_s = bad_from_s + shape.duration_s
    calls = []
    async with asyncio.TaskGroup() as group:
        for number in range(shape.sound_callers):
            group.create_task(_call_sound(fleet, number, streams, senders, ends_s))
        await asyncio.sleep(CALM_S)
        disturbing = None
        if shape.disturb is not None:
            disturbing = asyncio.create_task(shape.disturb(fleet, journal))
        for number in range(BAD_CALLERS if shape.prompts else 0):
            call = _call_bad(fleet, number, shape, senders, ends_s)
            calls.append(group.create_task(call))
        await asyncio.sleep(shape.duration_s)
        if disturbing is not None:
            disturbing.cancel()
    bad_streams = [stream for call in calls for stream in call.result()]
    return _judge(shape, journal, senders, streams, bad_streams, (bad_from_s, ends_s))


def _judge(shape, journal, senders, streams, bad_streams, span_s):
    bad_from_s, ends_s = span_s
    late = {}
    judged_from_s = bad_from_s
    for part in shape.bad_parts:
        times_s = [crash.time_s for crash in journal.crashes if crash.part == part]
        decisive_s = times_s[DECISIVE_CRASH - 1 :][:1] or times_s[-1:] or [bad_from_s]
        judged_from_s = max(judged_from_s, decisive_s[0] + 2 * LEARNING_S)
        if len(times_s) < DECISIVE_CRASH:
            late[part] = 0
            continue
        late[part] = sum(
            part in arrival.parts
            and arrival.time_s > decisive_s[0] + LEARNING_S
            and arrival.time_s > senders.runs[arrival.attempt] + LEARNING_S
            for arrival in journal.arrivals
        )
    before = [each for each in streams if each.tries[0].began_s < bad_from_s]
    after = [each for each in streams if judged_from_s < each.tries[0].began_s < ends_s]
    return Outcome(
        journal.crashes,
        late,
        _share_begun(before),
        _share_begun(after),
        streams,
        bad_streams,
    )


def _share_begun(streams):
    if not streams:
        return 0.0
    return sum(stream.tries[0].first_event for stream in streams) / len(streams)


async def kill_in_turn(fleet, journal):
    """Kill and restart one instance each second, for ever."""
    del journal
    rng = random.Random(1)
    while True:
        await asyncio.sleep(1.0)
        await _restart(rng.choice(fleet.gateways))


async def kill_all(fleet, journal):
    """Kill and restart all instances at once, every 4 s, for ever."""
    del journal
    while True:
        await asyncio.sleep(4.0)
        await asyncio.gather(*map(_restart, fleet.gateways))


async def crash_at_random(fleet, journal):
    """Crash one engine each second that no request is to blame for."""
    del journal
    rng = random.Random(1)
    engines = [each for each in fleet.endpoints.values() if each.is_engine]
    while True:
        await asyncio.sleep(1.0)
        rng.choice(engines).crash()


async def _restart(gateway):
    await gateway.kill()
    await asyncio.sleep(DOWN_S)
    await gateway.start()
