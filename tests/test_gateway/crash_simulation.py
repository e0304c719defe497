"""Simulation of many instances whose callers' prompts crash engines, on virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import NamedTuple

from gateway_fakes import make_entry, make_telemetry
from stream_simulation import (
    DATAGRAM_HEADER_BYTES,
    DELAY_S,
    GONE_NOTICED_S,
    KEYS,
    REGISTRATION_S,
    START_NOTICED_S,
    InstanceTimers,
    SimulatedStore,
    StoreClient,
)

from savorychute.clock import SystemWallClock
from savorychute.crashes.crash_decision import CrashDecisionKind
from savorychute.crashes.request_traits import make_traits
from savorychute.gateway.crash_telemetry import CrashTelemetry
from savorychute.gateway.daemon.verdict_keeper import VerdictKeeper
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.recovery.crash_exchange import CrashExchange
from savorychute.gateway.recovery.crash_guard import CrashGuard
from savorychute.gateway.recovery.crash_history_fetcher import CrashHistoryFetcher
from savorychute.gateway.recovery.crash_question import CrashQuestion
from savorychute.gateway.recovery.crash_report import CrashReport
from savorychute.gateway.recovery.verdict_news import VerdictNews
from savorychute.gateway.requests.attempt import SURVIVAL_MS
from savorychute.gateway.requests.crash_check import CrashCheck
from savorychute.gateway.store.store_era import StoreEra
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.testing.virtual_loop import LoopClock
from savorychute.wire.peer_codec import PeerCodec

SERVICE = 'pool'
TICK_S = 0.1
DOWN_S = (1.8, 3.3)
ENTRY_LIFETIME_S = 3.0
LISTING_LAG_S = (0.0, 0.8)
PREFILL_S = (0.05, 0.2)
CRASH_DELAY_S = (0.01, 0.1)
ANSWER_S = (0.1, 1.5)
INSTANCE_DOWN_S = 0.3
MAX_EXECUTIONS = 2
MAX_SENDS = 4
CALLER_TRIES = 3
CALLER_PAUSE_S = (0.05, 0.4)
IN_TOUCH_S = 3.0
DECISIVE_CRASH = 5
# Instances need this long to write again what the store has lost.
RESTORE_S = 3.0
DOMAINS = 3


class Arrival(NamedTuple):
    """A request that reached an engine; whether its sender was in touch."""

    at_s: float
    parts: tuple[str, ...]
    in_touch: bool


class Request(NamedTuple):
    """The parts of a prompt without its own one, and what all its tries share."""

    parts: tuple[str, ...]
    fingerprint: str


class Admitted(NamedTuple):
    """The fields of an admitted request that a check of crashes needs."""

    service: object
    traits: object
    is_trial: bool


class Service(NamedTuple):
    """The service of all requests."""

    name: str = SERVICE


class Engine:
    """Serves requests in slots; ends when it begins to answer a bad part."""

    def __init__(self, fleet, name, slots):
        self.fleet = fleet
        self.name = name
        self.slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._starts = 0
        self.run = ''
        self.is_up = False
        # The attempts in progress, in order.
        self._attempts = {}
        self.start()

    def start(self):
        self._starts += 1
        self.run = f'{self.name}-{self._starts}'
        self.slots = asyncio.Semaphore(self._slot_count)
        self.is_up = True
        self.fleet.list_engine(self)

    def crash(self, part=''):
        """End with all requests, and start again after some seconds."""
        if not self.is_up:
            return
        self.is_up = False
        self.fleet.crashes.append((self.fleet.now_s(), part))
        for lost in tuple(self._attempts):
            lost.set_result('lost')
        self._attempts.clear()
        self.fleet.unlist_engine(self)
        self.fleet.later(self.fleet.rng.uniform(*DOWN_S), self.start)

    async def serve(self, request, on_survival):
        """Return how an attempt ended: ``answered`` or ``lost``."""
        lost = asyncio.get_running_loop().create_future()
        self._attempts[lost] = None
        slots = self.slots
        working = asyncio.create_task(self._work(request, slots, on_survival, lost))
        await asyncio.wait([lost, working], return_when=asyncio.FIRST_COMPLETED)
        working.cancel()
        self._attempts.pop(lost, None)
        return lost.result() if lost.done() else 'answered'

    async def _work(self, request, slots, on_survival, lost):
        rng = self.fleet.rng
        async with slots:
            await asyncio.sleep(rng.uniform(*PREFILL_S))
            request.begun = True
            bad = next((p for p in request.parts if p in self.fleet.bad_parts), None)
            if bad is not None:
                await asyncio.sleep(rng.uniform(*CRASH_DELAY_S))
                self.crash(bad)
                return
            duration_s = rng.uniform(*ANSWER_S)
            if duration_s > SURVIVAL_MS / 1_000:
                await asyncio.sleep(SURVIVAL_MS / 1_000)
                if not lost.done():
                    on_survival()
                duration_s -= SURVIVAL_MS / 1_000
            await asyncio.sleep(duration_s)


class Attempted:
    """One try of a caller, and whether an engine began to answer it."""

    def __init__(self, parts):
        self.parts = parts
        self.begun = False
        self.refused = False


class Instance:
    """One run of an instance: the real parts that decide, and what it knows of engines."""

    def __init__(self, fleet, name, number, incarnation):
        self.fleet = fleet
        self.name = name
        self.number = number
        self.address = MemberAddress(
            name, incarnation, 'kerala', f'hall-{number % DOMAINS}', '10.0.0.1', 80, 70
        )
        self.is_alive = True
        self.is_cut_from_store = False
        self.group = 0
        self.resumed = asyncio.Event()
        self.resumed.set()
        self._queue = []
        self.started_s = self.in_touch_since_s = fleet.now_s()
        self.records = {}
        self._gone = set()
        clock = LoopClock()
        rng = random.Random(fleet.rng.random())
        telemetry = make_telemetry(clock)
        self.guard = CrashGuard(clock.now_ms())
        self.guard.observer = CrashTelemetry(telemetry)
        self.exchange = fleet.make_exchange(self, rng, clock, InstanceTimers(self))
        self.exchange.connect(self._send)
        self._fetcher = CrashHistoryFetcher(rng)
        self._codec = PeerCodec(name, incarnation, KEYS)
        eras = StoreEra()
        client = StoreClient(self, eras)
        keeper = VerdictKeeper(
            client,
            self.guard,
            self.exchange,
            eras,
            clock,
            SystemWallClock(),
            rng,
            telemetry,
        )
        if not fleet.is_store_used:
            self.guard.inform()
        self.view = None
        self.tasks = [asyncio.create_task(self._tick())]
        if fleet.is_store_used:
            self.tasks.append(asyncio.create_task(keeper.run()))
            self.tasks.append(asyncio.create_task(client.follow_era()))

    def kill(self):
        self.is_alive = False
        self.resumed.set()
        for task in self.tasks:
            task.cancel()

    def run_or_queue(self, callback):
        """Run something unless the instance is gone; later if it is paused."""
        if not self.is_alive:
            return
        if self.resumed.is_set():
            callback()
        else:
            self._queue.append(callback)

    def wake(self):
        self.in_touch_since_s = self.fleet.now_s()
        self.resumed.set()
        queue, self._queue = self._queue, []
        for callback in queue:
            self.run_or_queue(callback)

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            await self.resumed.wait()
            now_ms = LoopClock().now_ms()
            if self.view is not None:
                self.exchange.set_view(self.view)
                if self.exchange.is_caught_up:
                    continue
                for action in self._fetcher.tick(self.view, now_ms):
                    self._send(action)

    def _send(self, action):
        self.fleet.count_message(action, self._codec)
        self.fleet.deliver(self, action.instance, action.message)

    def receive(self, sender, message):
        def handle():
            if isinstance(message, CrashReport):
                self.exchange.handle_report(message)
            elif isinstance(message, VerdictNews):
                self.exchange.handle_verdicts(message)
            elif isinstance(message, CrashQuestion):
                for action in self.exchange.respond(sender.address):
                    self._send(action)

        self.run_or_queue(handle)

    def set_members(self, addresses):
        alive = tuple(sorted(addresses | {self.address}))
        by_instance = {each.instance: each for each in alive}
        self.view = MemberView(self.address, alive, by_instance=by_instance)
        self.run_or_queue(lambda: self.exchange.set_view(self.view))

    # -- engines

    def list_run(self, engine, run):
        if run not in self._gone:
            self.records[run] = engine, EndpointRecord(make_entry(run, SERVICE))

    def unlist_run(self, run):
        self._gone.add(run)
        known = self.records.pop(run, None)
        if known is not None:
            record = known[1]
            self.guard.endpoint_ended(record.entry.run, LoopClock().now_ms())

    # -- requests

    async def handle(self, tried, request):
        """Serve one try of a caller; return whether it was answered."""
        now_ms = LoopClock().now_ms
        traits = make_traits(request.fingerprint, request.parts)
        if not self.guard.is_informed(now_ms()):
            tried.refused = True
            return False
        decision = self.guard.decide(SERVICE, traits, now_ms(), may_try=True)
        if decision.kind is CrashDecisionKind.REFUSED:
            tried.refused = True
            self.fleet.refused[request.parts] += 1
            return False
        is_trial = decision.kind is CrashDecisionKind.TRIAL
        check = CrashCheck(self.guard, Admitted(Service(), traits, is_trial))
        attempted = set()
        executions = 0
        for _ in range(MAX_SENDS):
            if check.find_refusal(now_ms()) is not None:
                return False
            choice = self._choose(check, attempted)
            if choice is None:
                return False
            engine, record = choice
            run = record.entry.run
            attempted.add(run)
            await asyncio.sleep(DELAY_S)
            if not self.is_alive:
                return False
            if engine.run != run.endpoint or not engine.is_up:
                self.unlist_run(run.endpoint)
                continue
            if check.find_refusal(now_ms()) is not None:
                return False
            self.fleet.record_arrival(self, request)
            outcome = await engine.serve(
                tried, lambda run=run: self._survived(check, run)
            )
            if not self.is_alive:
                return False
            if outcome == 'answered':
                self.run_or_queue(lambda run=run: check.record_success(run, now_ms()))
                return True
            check.attempt_ended()
            self.run_or_queue(lambda run=run: self._lost(check, run))
            executions += 1
            if executions >= MAX_EXECUTIONS:
                return False
        return False

    def _choose(self, check, attempted):
        known = [
            (engine, record)
            for engine, record in self.records.values()
            if record.entry.run not in attempted
        ]
        if not known:
            return None
        engines = {record: engine for engine, record in known}
        records = [record for _, record in known]
        if self.fleet.has_lanes:
            records = check.confine(records, LoopClock().now_ms())
        record = self.fleet.rng.choice(list(records))
        return engines[record], record

    def _survived(self, check, run):
        self.run_or_queue(lambda: check.record_success(run, LoopClock().now_ms()))

    def _lost(self, check, run):
        """Record a lost attempt, and find the engine gone a little later."""
        check.record_loss(run, LoopClock().now_ms())
        self.fleet.later(
            2 * DELAY_S,
            lambda: self.run_or_queue(lambda: self.unlist_run(run.endpoint)),
        )


class CrashFleet:
    """Instances, engines and callers.

    :param instances: the number of instances.
    :param seed: seed of all random numbers.
    :param engines: the number of engines.
    :param slots: the slots of each engine.
    :param bad_parts: the parts on which engines crash.
    :param has_lanes: whether suspects are confined.
    :param is_store_used: whether verdicts are stored.
    :param exchange: the class that exchanges crashes.
    :param count_bytes: whether messages are encoded, to count their bytes.
    """

    def __init__(
        self,
        instances=8,
        seed=1,
        engines=12,
        slots=16,
        bad_parts=('bad0',),
        has_lanes=True,
        is_store_used=True,
        exchange=CrashExchange,
        count_bytes=False,
    ):
        self.rng = random.Random(seed)
        self.bad_parts = frozenset(bad_parts)
        self.has_lanes = has_lanes
        self.is_store_used = is_store_used
        self._exchange = exchange
        self._count_bytes = count_bytes
        self.store = SimulatedStore()
        self.crashes = []
        self.arrivals = []
        self.refused = Counter()
        self.messages = Counter()
        self.message_bytes = 0
        self.core_stable_since_s = 0.0
        # When the store last lost records, and when nobody knew any more what it had.
        self.records_lost_s = float('-inf')
        self.forgotten_s = 0.0
        self.instances = {}
        self._incarnation = 0
        self._names = [f'k{number}' for number in range(instances)]
        self.engines = []
        self._engine_count, self._slots = engines, slots
        self._tasks = set()
        # The first try of each sound request: when, and whether it began.
        self.first_tries = []

    def now_s(self):
        return asyncio.get_running_loop().time()

    def later(self, delay_s, callback):
        asyncio.get_running_loop().call_later(delay_s, callback)

    def make_exchange(self, instance, rng, clock, timers):
        return self._exchange(instance.guard, rng, clock, timers)

    # -- instances

    async def start(self):
        for number in range(self._engine_count):
            self.engines.append(Engine(self, f'e{number}', self._slots))
        for number in range(len(self._names)):
            self._start(number)
        await asyncio.sleep(REGISTRATION_S)
        self._tell_members()

    def _start(self, number):
        self._incarnation += 1
        instance = Instance(self, self._names[number], number, self._incarnation)
        self.instances[instance.name] = instance
        for engine in self.engines:
            if engine.is_up:
                instance.list_run(engine, engine.run)

    def alive(self):
        return [each for each in self.instances.values() if each.is_alive]

    def kill(self, instances, down_s=INSTANCE_DOWN_S):
        """Kill some instances at once, and start them again."""
        for instance in instances:
            instance.kill()
        if not self.alive() and self.now_s() - self.records_lost_s < RESTORE_S:
            self.forgotten_s = self.now_s()
        self.later(down_s, lambda: self._restart(instances))
        self.later(GONE_NOTICED_S, self._tell_members)

    def _restart(self, instances):
        for instance in instances:
            self._start(instance.number)
        self.later(REGISTRATION_S, self._tell_members)
        self.later(START_NOTICED_S, self._tell_members)

    def _tell_members(self):
        addresses = {each.address for each in self.alive()}
        for instance in self.alive():
            reached = {
                address
                for address in addresses
                if self.instances[address.instance].group == instance.group
            }
            instance.set_members(reached)

    def cut(self, instances, group):
        """Move some instances into a group that the others do not reach."""
        for instance in instances:
            instance.group = group
            instance.in_touch_since_s = self.now_s() if group == 0 else float('inf')
        self.later(GONE_NOTICED_S, self._tell_members)

    def pause(self, instance, duration_s):
        instance.resumed.clear()
        instance.in_touch_since_s = float('inf')
        self.later(duration_s, instance.wake)

    # -- messages

    def count_message(self, action, codec):
        self.messages[type(action.message).__name__] += 1
        if self._count_bytes:
            frame = codec.encode(action.instance, action.message)
            self.message_bytes += len(frame) + DATAGRAM_HEADER_BYTES

    def deliver(self, sender, name, message):
        def arrive():
            receiver = self.instances[name]
            if receiver.is_alive and receiver.group == sender.group:
                receiver.receive(sender, message)

        if sender.is_alive:
            self.later(DELAY_S, arrive)

    # -- engines

    def list_engine(self, engine):
        run = engine.run
        for instance in self.alive():
            lag_s = self.rng.uniform(*LISTING_LAG_S)
            self.later(lag_s, _bind(instance, instance.list_run, engine, run))

    def unlist_engine(self, engine):
        run = engine.run
        for instance in self.alive():
            lag_s = ENTRY_LIFETIME_S + self.rng.uniform(*LISTING_LAG_S)
            self.later(lag_s, _bind(instance, instance.unlist_run, run))

    def disturb_store(self, is_down):
        """Let the store be silent, or respond again."""
        self.store.is_down = is_down
        self.core_stable_since_s = float('inf') if is_down else self.now_s()

    def lose_records(self, records):
        """Let the store go back to an older copy."""
        self.store.go_back(records)
        self.core_stable_since_s = self.records_lost_s = self.now_s()
        if not self.alive():
            self.forgotten_s = self.now_s()

    def record_arrival(self, instance, request):
        now_s = self.now_s()
        since_s = max(instance.in_touch_since_s, self.core_stable_since_s)
        in_touch = now_s - since_s >= IN_TOUCH_S
        self.arrivals.append(Arrival(now_s, request.parts, in_touch))

    # -- callers

    async def call(self, request, first_tries=None):
        """Send a request up to three times, until it is answered."""
        for number in range(CALLER_TRIES):
            candidates = [each for each in self.alive() if each.resumed.is_set()]
            if candidates:
                instance = self.rng.choice(candidates)
                at_s = self.now_s()
                in_touch = at_s - instance.in_touch_since_s >= IN_TOUCH_S
                tried = Attempted(request.parts)
                answered = await instance.handle(tried, request)
                if number == 0 and first_tries is not None and in_touch:
                    first_tries.append((at_s, tried.begun))
                if answered:
                    return
            await asyncio.sleep(self.rng.uniform(*CALLER_PAUSE_S))

    async def send(self, make_parts, rate_per_s, duration_s, first_tries=None):
        """Send requests, no two alike."""
        ends_s = self.now_s() + duration_s
        while self.now_s() < ends_s:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            fingerprint = f'{self.rng.getrandbits(64):x}'
            call = self.call(Request(make_parts(), fingerprint), first_tries)
            task = asyncio.create_task(call)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self):
        while self._tasks:
            await asyncio.sleep(0.1)
        for instance in self.alive():
            instance.kill()

    # -- what is judged

    def crash_times(self, part):
        return [at_s for at_s, cause in self.crashes if cause == part]

    def count_late(self, part):
        """Return the requests with a part that came too late to be excused."""
        times_s = [each for each in self.crash_times(part) if each > self.forgotten_s]
        if len(times_s) < DECISIVE_CRASH:
            return 0
        known_s = times_s[DECISIVE_CRASH - 1] + IN_TOUCH_S
        return sum(
            part in each.parts and each.at_s > known_s and each.in_touch
            for each in self.arrivals
        )

    def share_begun(self, from_s, to_s):
        """Return the share of the first tries of sound requests that began."""
        tries = [begun for at_s, begun in self.first_tries if from_s < at_s < to_s]
        return sum(tries) / len(tries) if tries else 1.0


def _bind(instance, method, *arguments):
    return lambda: instance.run_or_queue(lambda: method(*arguments))
