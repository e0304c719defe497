"""Instances that share duties, a store that fails and goes back, and a platform."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import NamedTuple

from savorychute.gateway.daemon.duty_worker import DutyWorker
from savorychute.gateway.duties.duty_claims import DutyClaims
from savorychute.gateway.duties.duty_lease import DUTY_LEASE
from savorychute.gateway.duties.duty_order import DutyOutcome
from savorychute.gateway.duties.usage_duty import UsageDuty
from savorychute.gateway.duties.usage_gathering import UsageGathering
from savorychute.gateway.duties.usage_told import (
    OrganisationCount,
    UsageTold,
    WindowCounts,
)
from savorychute.gateway.duties.usage_windows import UsageWindows
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.store_era import StoreEra
from savorychute.gateway.store.store_errors import (
    HistoryLostError,
    StoreUnavailableError,
    WriteConflictError,
)
from savorychute.gateway.store.topic_delta import TopicDelta
from savorychute.gateway.store.topic_snapshot import TopicSnapshot
from savorychute.gateway.store.write_receipt import WriteReceipt
from savorychute.testing.virtual_loop import VirtualLoop, VirtualSelector

# The true time at which a world begins: in the middle of a window.
BEGIN_MS = 1_800_000_002_500
WINDOWS = UsageWindows(5_000, 10_000)
STORE_MS = 4
STORE_TIMEOUT_MS = 1_000
CALL_TIMEOUT_MS = 1_500
ORGANISATIONS = ('kochi', 'thrissur')


class TimerSelector(VirtualSelector):
    """Lets time pass at once: nobody here has a socket."""

    def select(self, timeout=None):
        ready = super(VirtualSelector, self).select(0)
        if not ready and timeout:
            self.time_s += timeout
        return ready


class TimerLoop(VirtualLoop):
    """A loop on virtual time for tasks that only meet in memory."""

    def __init__(self):
        self._virtual = TimerSelector()
        asyncio.SelectorEventLoop.__init__(self, self._virtual)


def run_world(scenario):
    """Run a coroutine on a loop without sockets."""
    with asyncio.Runner(loop_factory=TimerLoop) as runner:
        return runner.run(scenario)


def loop_ms():
    return asyncio.get_running_loop().time() * 1_000


async def sleep_ms(duration_ms):
    await asyncio.sleep(duration_ms / 1_000)


class Trouble(NamedTuple):
    """What a call to the store, or to the platform, may meet; shares from 0 to 1."""

    lost: float = 0.0
    late: float = 0.0
    slow_ms: int = 0
    # When a late one is carried out, at the earliest and at the latest.
    late_ms: tuple[int, int] = (1_000, 6_000)


class ModelStore:
    """One topic that may forget its history, be away, and go back to an older copy."""

    def __init__(self, rng):
        self.rng = rng
        self.records = []
        self.times_ms = []
        self.first = 0
        self.era = 1
        self.down = False
        self.trouble = Trouble()
        self.calls = 0
        self._written = asyncio.Event()

    def go_back(self, age_ms):
        """Come back from a copy of some time ago."""
        kept = sum(each <= loop_ms() - age_ms for each in self.times_ms)
        del self.records[kept:]
        del self.times_ms[kept:]
        self.first = min(self.first, kept)
        self.era += 1
        self._wake()

    def forget(self):
        """Drop the history; the newest record of each key stays."""
        self.first = len(self.records)

    def append(self, key, value, expected_end):
        if expected_end not in (None, len(self.records)):
            raise WriteConflictError('written by another')
        offset = len(self.records)
        self.records.append(KeyedRecord(offset, key, value))
        self.times_ms.append(loop_ms())
        self._wake()
        return WriteReceipt(offset, self.era)

    async def until_written(self, wait_ms):
        with suppress(TimeoutError):
            await asyncio.wait_for(self._written.wait(), wait_ms / 1_000)

    def _wake(self):
        self._written.set()
        self._written = asyncio.Event()


class InstanceTopic:
    """The topic as one instance reaches it."""

    def __init__(self, store, eras, line):
        self._store = store
        self._eras = eras
        self._line = line

    async def list_newest(self):
        await self.arrive()
        newest = {each.key: each for each in self._store.records}
        self._eras.note(self._store.era)
        end = len(self._store.records)
        return TopicSnapshot(tuple(newest.values()), end, self._store.era)

    async def read_from(self, offset, wait_ms):
        await self.arrive()
        store = self._store
        if offset == len(store.records):
            await store.until_written(wait_ms)
            await self.arrive()
        self._eras.note(store.era)
        if offset > len(store.records) or offset < store.first:
            raise HistoryLostError('not kept')
        records = tuple(store.records[offset:])
        end = len(store.records)
        return TopicDelta(records, end, end, store.era)

    async def write(self, key, value, expected_end=None):
        await self.arrive()
        store, rng = self._store, self._store.rng
        if rng.random() < store.trouble.late:
            self._line.start(self._append_late(key, value, expected_end))
            await sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError('no answer')
        try:
            receipt = store.append(key, value, expected_end)
        finally:
            self._eras.note(store.era)
        if rng.random() < store.trouble.lost:
            await sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError('no answer')
        await self._line.thawed()
        return receipt

    async def _append_late(self, key, value, expected_end):
        await sleep_ms(self._store.rng.uniform(*self._store.trouble.late_ms))
        with suppress(WriteConflictError):
            self._store.append(key, value, expected_end)

    async def arrive(self):
        await self._line.thawed()
        self._store.calls += 1
        if self._store.down or self._line.cut_from_store:
            await sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError('silent')
        await sleep_ms(STORE_MS + self._store.trouble.slow_ms)
        await self._line.thawed()


class Send(NamedTuple):
    """A call that the platform has carried out."""

    at_ms: float
    instance: str
    fencing: int
    window: int
    counts: tuple
    accepted: bool


class ModelPlatform:
    """Checks fencing numbers, and may carry out a call long after it was sent."""

    def __init__(self, rng):
        self.rng = rng
        self.down = False
        self.trouble = Trouble()
        self.highest = 0
        self.calls = []

    def take(self, instance, fencing, report):
        accepted = fencing >= self.highest
        self.highest = max(self.highest, fencing)
        self.calls.append(
            Send(loop_ms(), instance, fencing, *report, accepted=accepted)
        )
        return DutyOutcome.ACCEPTED if accepted else DutyOutcome.FENCED

    def accepted(self):
        """Return the different counts that were accepted, by window."""
        found = {}
        for call in self.calls:
            if call.accepted:
                found.setdefault(call.window, set()).add(call.counts)
        return found


class InstanceLine:
    """One instance's way to the platform; the instance may be paused or cut off."""

    def __init__(self, platform):
        self._platform = platform
        self.cut_from_store = False
        self.cut_from_platform = False
        self._late = set()
        self._thawed = asyncio.Event()
        self._thawed.set()

    def start(self, work):
        """Carry out something late, whatever becomes of the instance."""
        task = asyncio.create_task(work)
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    @property
    def is_frozen(self):
        return not self._thawed.is_set()

    def freeze(self):
        self._thawed.clear()

    def thaw(self):
        self._thawed.set()

    async def thawed(self):
        await self._thawed.wait()

    async def report(self, step, order):
        await self.thawed()
        platform, rng = self._platform, self._platform.rng
        if platform.down or self.cut_from_platform:
            await sleep_ms(CALL_TIMEOUT_MS)
            return DutyOutcome.UNKNOWN
        await sleep_ms(2 + platform.trouble.slow_ms)
        if rng.random() < platform.trouble.late:
            self.start(self._take_late(step, order))
            await sleep_ms(CALL_TIMEOUT_MS)
            return DutyOutcome.UNKNOWN
        outcome = platform.take(order.holder, order.fencing, step.report)
        if rng.random() < platform.trouble.lost:
            await sleep_ms(CALL_TIMEOUT_MS)
            return DutyOutcome.UNKNOWN
        await self.thawed()
        return outcome

    async def _take_late(self, step, order):
        await sleep_ms(self._platform.rng.uniform(2_000, 12_000))
        self._platform.take(order.holder, order.fencing, step.report)


class SkewedClock:
    """A steady clock that runs a little too fast or too slow."""

    def __init__(self, rate):
        self._rate = rate
        self._start_ms = loop_ms()

    def now_ms(self):
        return int((loop_ms() - self._start_ms) * self._rate) + 1_000


class NearTime:
    """The true time, as far as an instance knows it."""

    def __init__(self, error_ms):
        self._error_ms = error_ms

    def now_ms(self):
        return int(BEGIN_MS + loop_ms() + self._error_ms)


class Everyone:
    """All instances may hold the duties; nobody waits for what others tell."""

    is_candidate = True
    members = ()


class Silent:
    """Telemetry that keeps the changes of the lease."""

    def __init__(self):
        self.changes = []

    def duty_changed(self, change):
        self.changes.append((loop_ms(), change))

    def usage_step(self, step, outcome, fencing):
        pass

    def store_failed(self, topic, error):
        pass

    def store_answered(self, topic):
        pass


class Instance:
    """One run of an instance, with counts that no other has."""

    def __init__(self, world, name, rng):
        self.name = name
        self._killed = False
        self.line = InstanceLine(world.platform)
        self.telemetry = Silent()
        eras = StoreEra()
        clock = SkewedClock(rng.uniform(0.995, 1.005))
        time = NearTime(rng.uniform(-100, 100))
        claims = DutyClaims(name, DUTY_LEASE, random.Random(rng.random()), eras)
        gathering = UsageGathering()
        self.claims = claims
        self.clock = clock
        self._gathering = gathering
        self._rng = rng
        self.worker = DutyWorker(
            name,
            InstanceTopic(world.store, eras, self.line),
            self.line,
            claims,
            UsageDuty(WINDOWS, claims.records, gathering),
            None,
            Everyone(),
            time,
            clock,
            self.telemetry,
            lambda _purpose: None,
        )
        self._tasks = [
            asyncio.create_task(self.worker.run()),
            asyncio.create_task(self._count()),
        ]

    def acts(self):
        """Return whether it is neither killed, paused nor cut off."""
        line = self.line
        cut = line.cut_from_store or line.cut_from_platform
        return not (self._killed or cut or line.is_frozen)

    def kill(self):
        self._killed = True
        for task in (*self._tasks, *self.worker._tasks):
            task.cancel()

    def holds(self):
        return self.claims.fencing(self.clock.now_ms()) is not None

    async def _count(self):
        """Know something else of each window than any other instance does."""
        number = 0
        while True:
            now_ms = int(BEGIN_MS + loop_ms())
            counts = tuple(
                OrganisationCount(each, self._rng.randrange(1, 1_000))
                for each in ORGANISATIONS
            )
            windows = (WindowCounts(WINDOWS.at(now_ms), counts),)
            number += 1
            self._gathering.take(self.name, UsageTold(1, number, windows))
            await sleep_ms(1_000)


class World:
    """A store, a platform and some instances."""

    def __init__(self, seed, instances=3):
        self.rng = random.Random(seed)
        self.store = ModelStore(self.rng)
        self.platform = ModelPlatform(self.rng)
        self._started = 0
        self.instances = [self.start(f'k{number}') for number in range(instances)]
        # When and whom something harmed, for promises about calm instances alone.
        self.harmed = []

    def start(self, name):
        """Start a run of an instance."""
        self._started += 1
        return Instance(self, name, random.Random(self.rng.random()))

    def restart(self, number):
        """Kill an instance and start it again under its name."""
        old = self.instances[number]
        old.kill()
        self.instances[number] = self.start(old.name)

    def holder(self):
        """Return the number of the instance that holds the duties, or None."""
        holding = [number for number, each in enumerate(self.instances) if each.holds()]
        return holding[0] if holding else None

    async def until_held(self):
        while self.holder() is None:
            await sleep_ms(50)

    def end(self):
        for each in self.instances:
            each.kill()
