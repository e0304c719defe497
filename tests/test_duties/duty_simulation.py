"""Simulates instances that share duties, a fallible store and a platform."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import NamedTuple

from savorychute.gateway.daemon.duty_worker import DutyWorker
from savorychute.gateway.duties.duty_claims import DutyClaims
from savorychute.gateway.duties.duty_lease import DUTY_LEASE
from savorychute.gateway.duties.duty_order import DutyOutcome
from savorychute.gateway.duties.usage_aggregator import UsageAggregator
from savorychute.gateway.duties.usage_duty import UsageDuty
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

# The true time at which a simulation starts: in the middle of a window.
START_TRUE_MS = 1_800_000_002_500
WINDOWS = UsageWindows(5_000, 10_000)
STORE_LATENCY_MS = 4
STORE_TIMEOUT_MS = 1_000
CALL_TIMEOUT_MS = 1_500
ORGANISATIONS = ('kochi', 'thrissur')


class TimerSelector(VirtualSelector):
    """Advances virtual time at once, because no task here has a socket."""

    def select(self, timeout=None):
        ready = super(VirtualSelector, self).select(0)
        if not ready and timeout:
            self.time_s += timeout
        return ready


class TimerLoop(VirtualLoop):
    """An event loop on virtual time for tasks that communicate in memory only."""

    def __init__(self):
        self._virtual = TimerSelector()
        asyncio.SelectorEventLoop.__init__(self, self._virtual)


def run_simulation(scenario):
    """Run a coroutine on an event loop without sockets."""
    with asyncio.Runner(loop_factory=TimerLoop) as runner:
        return runner.run(scenario)


def loop_ms():
    return asyncio.get_running_loop().time() * 1_000


async def sleep_ms(duration_ms):
    await asyncio.sleep(duration_ms / 1_000)


class CallFaults(NamedTuple):
    """Faults of calls to the store or to the platform; shares are from 0 to 1.

    ``lost`` is the share of calls without a response, ``late`` that of calls that are
    executed after their timeout.
    """

    lost: float = 0.0
    late: float = 0.0
    slow_ms: int = 0
    # The shortest and the longest delay of a late call.
    late_ms: tuple[int, int] = (1_000, 6_000)


class FakeStore:
    """One topic that can drop its history, be down, and restore an older copy."""

    def __init__(self, rng):
        self.rng = rng
        self.records = []
        self.written_ms = []
        self.first_offset = 0
        self.era = 1
        self.is_down = False
        self.faults = CallFaults()
        self.calls = 0
        self._written = asyncio.Event()

    def restore_older_copy(self, age_ms):
        """Restore the copy of some time ago."""
        kept_count = sum(each <= loop_ms() - age_ms for each in self.written_ms)
        del self.records[kept_count:]
        del self.written_ms[kept_count:]
        self.first_offset = min(self.first_offset, kept_count)
        self.era += 1
        self._notify()

    def drop_history(self):
        """Drop the history; the newest record of each key stays."""
        self.first_offset = len(self.records)

    def append(self, key, value, expected_end):
        if expected_end not in (None, len(self.records)):
            raise WriteConflictError('another record was written')
        offset = len(self.records)
        self.records.append(KeyedRecord(offset, key, value))
        self.written_ms.append(loop_ms())
        self._notify()
        return WriteReceipt(offset, self.era)

    async def wait_until_written(self, wait_ms):
        with suppress(TimeoutError):
            await asyncio.wait_for(self._written.wait(), wait_ms / 1_000)

    def _notify(self):
        self._written.set()
        self._written = asyncio.Event()


class InstanceTopic:
    """The topic as one instance accesses it."""

    def __init__(self, store, store_era, connection):
        self._store = store
        self._store_era = store_era
        self._connection = connection

    async def list_newest(self):
        await self.reach_store()
        newest = {each.key: each for each in self._store.records}
        self._store_era.record(self._store.era)
        end = len(self._store.records)
        return TopicSnapshot(tuple(newest.values()), end, self._store.era)

    async def read_from(self, offset, wait_ms):
        await self.reach_store()
        store = self._store
        if offset == len(store.records):
            await store.wait_until_written(wait_ms)
            await self.reach_store()
        self._store_era.record(store.era)
        if offset > len(store.records) or offset < store.first_offset:
            raise HistoryLostError('records are no longer kept')
        records = tuple(store.records[offset:])
        end = len(store.records)
        return TopicDelta(records, end, end, store.era)

    async def write(self, key, value, expected_end=None):
        await self.reach_store()
        store, rng = self._store, self._store.rng
        if rng.random() < store.faults.late:
            self._connection.run_in_background(
                self._append_late(key, value, expected_end)
            )
            await sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError('no response')
        try:
            receipt = store.append(key, value, expected_end)
        finally:
            self._store_era.record(store.era)
        if rng.random() < store.faults.lost:
            await sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError('no response')
        await self._connection.until_resumed()
        return receipt

    async def _append_late(self, key, value, expected_end):
        await sleep_ms(self._store.rng.uniform(*self._store.faults.late_ms))
        with suppress(WriteConflictError):
            self._store.append(key, value, expected_end)

    async def reach_store(self):
        await self._connection.until_resumed()
        self._store.calls += 1
        if self._store.is_down or self._connection.cut_from_store:
            await sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError('the store is down')
        await sleep_ms(STORE_LATENCY_MS + self._store.faults.slow_ms)
        await self._connection.until_resumed()


class PlatformCall(NamedTuple):
    """A call that the platform has executed."""

    at_ms: float
    instance: str
    fencing: int
    window: int
    counts: tuple
    accepted: bool


class FakePlatform:
    """Checks fencing numbers."""

    def __init__(self, rng):
        self.rng = rng
        self.is_down = False
        self.faults = CallFaults()
        self.highest = 0
        self.calls = []

    def handle_report(self, instance, fencing, report):
        accepted = fencing >= self.highest
        self.highest = max(self.highest, fencing)
        self.calls.append(
            PlatformCall(loop_ms(), instance, fencing, *report, accepted=accepted)
        )
        return DutyOutcome.ACCEPTED if accepted else DutyOutcome.FENCED

    def accepted_counts(self):
        """Return the distinct counts that were accepted, by window."""
        counts_by_window = {}
        for call in self.calls:
            if call.accepted:
                counts_by_window.setdefault(call.window, set()).add(call.counts)
        return counts_by_window


class InstanceConnection:
    """One instance's connection to store and platform, which can be cut.

    The instance can also be paused; calls may be executed long after they were sent.
    """

    def __init__(self, platform):
        self._platform = platform
        self.cut_from_store = False
        self.cut_from_platform = False
        self._late = set()
        self._resumed = asyncio.Event()
        self._resumed.set()

    def run_in_background(self, work):
        """Run a delayed call even if the instance ends meanwhile."""
        task = asyncio.create_task(work)
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    @property
    def is_paused(self):
        return not self._resumed.is_set()

    def pause(self):
        self._resumed.clear()

    def resume(self):
        self._resumed.set()

    async def until_resumed(self):
        await self._resumed.wait()

    async def report(self, step, order):
        await self.until_resumed()
        platform, rng = self._platform, self._platform.rng
        if platform.is_down or self.cut_from_platform:
            await sleep_ms(CALL_TIMEOUT_MS)
            return DutyOutcome.UNKNOWN
        await sleep_ms(2 + platform.faults.slow_ms)
        if rng.random() < platform.faults.late:
            self.run_in_background(self._handle_late(step, order))
            await sleep_ms(CALL_TIMEOUT_MS)
            return DutyOutcome.UNKNOWN
        outcome = platform.handle_report(order.holder, order.fencing, step.report)
        if rng.random() < platform.faults.lost:
            await sleep_ms(CALL_TIMEOUT_MS)
            return DutyOutcome.UNKNOWN
        await self.until_resumed()
        return outcome

    async def _handle_late(self, step, order):
        await sleep_ms(self._platform.rng.uniform(2_000, 12_000))
        self._platform.handle_report(order.holder, order.fencing, step.report)


class SkewedClock:
    """A monotonic clock that runs slightly too fast or too slow."""

    def __init__(self, rate):
        self._rate = rate
        self._start_ms = loop_ms()

    def now_ms(self):
        return int((loop_ms() - self._start_ms) * self._rate) + 1_000


class SkewedTrueTime:
    """The true time with the error of one instance's estimate."""

    def __init__(self, error_ms):
        self._error_ms = error_ms

    def now_ms(self):
        return int(START_TRUE_MS + loop_ms() + self._error_ms)


class AllCandidates:
    """Makes every instance a candidate; no holder waits for the counts of others."""

    is_candidate = True
    alive_members = ()


class RecordingTelemetry:
    """Telemetry that records the changes of the lease."""

    def __init__(self):
        self.changes = []

    def duty_changed(self, change):
        self.changes.append((loop_ms(), change))

    def usage_step(self, step, outcome, fencing):
        pass

    def store_failed(self, topic, error):
        pass

    def store_responded(self, topic):
        pass


class Instance:
    """One run of an instance, with counts that differ from those of all others."""

    def __init__(self, simulation, name, rng):
        self.name = name
        self._killed = False
        self.connection = InstanceConnection(simulation.platform)
        self.telemetry = RecordingTelemetry()
        store_era = StoreEra()
        clock = SkewedClock(rng.uniform(0.995, 1.005))
        time = SkewedTrueTime(rng.uniform(-100, 100))
        claims = DutyClaims(name, DUTY_LEASE, random.Random(rng.random()), store_era)
        aggregator = UsageAggregator()
        self.claims = claims
        self.clock = clock
        self._aggregator = aggregator
        self._rng = rng
        self.worker = DutyWorker(
            name,
            InstanceTopic(simulation.store, store_era, self.connection),
            self.connection,
            claims,
            UsageDuty(WINDOWS, claims.records, aggregator),
            None,
            AllCandidates(),
            time,
            clock,
            self.telemetry,
            lambda _purpose: None,
        )
        self._tasks = [
            asyncio.create_task(self.worker.run()),
            asyncio.create_task(self._count_usage()),
        ]

    def is_available(self):
        """Return whether the instance is neither killed, paused nor disconnected."""
        connection = self.connection
        cut = connection.cut_from_store or connection.cut_from_platform
        return not (self._killed or cut or connection.is_paused)

    def kill(self):
        self._killed = True
        for task in (*self._tasks, *self.worker._tasks):
            task.cancel()

    def is_holder(self):
        return self.claims.fencing_number(self.clock.now_ms()) is not None

    async def _count_usage(self):
        """Add counts to each window that differ from those of all other instances."""
        number = 0
        while True:
            now_ms = int(START_TRUE_MS + loop_ms())
            counts = tuple(
                OrganisationCount(each, self._rng.randrange(1, 1_000))
                for each in ORGANISATIONS
            )
            windows = (WindowCounts(WINDOWS.window_at(now_ms), counts),)
            number += 1
            self._aggregator.apply(self.name, UsageTold(1, number, windows))
            await sleep_ms(1_000)


class DutySimulation:
    """A store, a platform and some instances."""

    def __init__(self, seed, instances=3):
        self.rng = random.Random(seed)
        self.store = FakeStore(self.rng)
        self.platform = FakePlatform(self.rng)
        self._started = 0
        self.instances = [
            self.start_instance(f'k{number}') for number in range(instances)
        ]
        # The times and targets of faults, for invariants that hold for undisturbed
        # instances only.
        self.disruptions = []

    def start_instance(self, name):
        """Start a run of an instance."""
        self._started += 1
        return Instance(self, name, random.Random(self.rng.random()))

    def restart(self, number):
        """Kill an instance and start it again under the same name."""
        old = self.instances[number]
        old.kill()
        self.instances[number] = self.start_instance(old.name)

    def holder(self):
        """Return the number of the instance that holds the duties, or None."""
        holding = [
            number for number, each in enumerate(self.instances) if each.is_holder()
        ]
        return holding[0] if holding else None

    async def wait_until_held(self):
        while self.holder() is None:
            await sleep_ms(50)

    def stop(self):
        for each in self.instances:
            each.kill()
