"""Simulation of many instances whose callers take streams up, on virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import NamedTuple

from gateway_fakes import make_deployment, make_entry, make_telemetry

from savorychute.gateway.configuration.configuration_state import ConfigurationState
from savorychute.gateway.daemon.mark_keeper import MarkKeeper
from savorychute.gateway.daemon.origin_collector import OriginCollector
from savorychute.gateway.daemon.stream_store import StreamStore
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.record_log import LogRead
from savorychute.gateway.store.store_era import StoreEra
from savorychute.gateway.store.store_errors import (
    StoreUnavailableError,
    WriteConflictError,
)
from savorychute.gateway.store.topic_snapshot import TopicSnapshot
from savorychute.gateway.store.write_receipt import WriteReceipt
from savorychute.gateway.stream_telemetry import StreamTelemetry
from savorychute.gateway.streams.stream_news import StreamNews
from savorychute.gateway.streams.stream_origin import StreamOrigin, make_stream_key
from savorychute.gateway.streams.stream_origins import StreamOrigins
from savorychute.gateway.streams.stream_question import StreamQuestion
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.testing.virtual_loop import LoopClock
from savorychute.wire.peer_codec import PeerCodec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys

SERVICE = 'pool'
DELAY_S = 0.002
STORE_DELAY_S = 0.004
STORE_TIMEOUT_S = 0.3
ERA_NOTICED_S = 0.5
# Until others notice that an instance is gone, or has started.
GONE_NOTICED_S = 1.5
START_NOTICED_S = 0.3
REGISTRATION_S = 0.05
DOWN_S = 0.3
# An instance reads a change of the endpoints within this time.
LISTING_LAG_S = (0.0, 0.8)
STREAM_S = (0.2, 3.0)
LIFETIME_MS = 16_000
NEVER_MS = 1 << 40
RETRY_S = 0.3
MAX_TRIES = 4
DOMAINS = 3
# Bytes of the headers of IP and UDP.
DATAGRAM_HEADER_BYTES = 28
KEYS = PeerKeys(PeerKey(1, b'k' * 32))


class InstanceTimers:
    """Timers of one run of an instance; they wait while it is paused."""

    def __init__(self, instance):
        self._instance = instance

    def call_later(self, delay_ms, callback):
        def run():
            self._instance.run_or_queue(callback)

        return asyncio.get_running_loop().call_later(delay_ms / 1_000, run)


class SimulatedStore:
    """The marks and the log, which lose what is younger than a copy at ``go_back``."""

    def __init__(self):
        self.is_down = False
        self.era = 1
        self.calls = Counter()
        self.bytes = 0
        self.marks = []
        self.log = []

    def go_back(self, records):
        """Lose the newest records of both topics."""
        self.era += 1
        del self.marks[max(0, len(self.marks) - records) :]
        del self.log[max(0, len(self.log) - records) :]


class StoreClient:
    """The store as one run of an instance reaches it; both of its topics."""

    def __init__(self, instance, eras):
        self._instance = instance
        self._eras = eras
        self._store = instance.fleet.store

    async def _call(self, kind, size=0):
        self._store.calls[kind] += 1
        self._store.bytes += size
        await asyncio.sleep(STORE_DELAY_S / 2)
        await self._instance.resumed.wait()
        if self._store.is_down or self._instance.is_cut_from_store:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailableError('no response')
        if not self._instance.is_alive:
            # The process is gone; nothing that it would do now may take effect.
            await asyncio.Event().wait()
        self._eras.record(self._store.era)

    async def follow_era(self):
        """Notice a new era, as by the reads of other topics."""
        while True:
            await asyncio.sleep(ERA_NOTICED_S)
            if not self._store.is_down and not self._instance.is_cut_from_store:
                self._eras.record(self._store.era)

    async def list_newest(self):
        await self._call('list')
        newest = {record.key: record for record in self._store.marks}
        snapshot = TopicSnapshot(
            tuple(newest.values()), len(self._store.marks), self._store.era
        )
        await asyncio.sleep(STORE_DELAY_S / 2)
        return snapshot

    async def write(self, key, value, expected_end=None):
        await self._call('mark')
        if expected_end not in (None, len(self._store.marks)):
            raise WriteConflictError('written by another')
        offset = len(self._store.marks)
        self._store.marks.append(KeyedRecord(offset, key, value))
        await asyncio.sleep(STORE_DELAY_S / 2)
        return WriteReceipt(offset, self._store.era)

    async def append(self, record):
        await self._call('append', len(record))
        self._store.log.append(record)
        await asyncio.sleep(STORE_DELAY_S / 2)
        return len(self._store.log) - 1

    async def read_from(self, offset):
        await self._call('read')
        end = len(self._store.log)
        records = tuple(self._store.log[min(offset, end) :])
        self._store.bytes += sum(map(len, records))
        await asyncio.sleep(STORE_DELAY_S / 2)
        return LogRead(records, end, end, self._store.era)

    async def trim(self, before):
        del before
        await self._call('trim')


class Instance:
    """One run of an instance."""

    def __init__(self, fleet, name, number, incarnation):
        self.fleet = fleet
        self.name = name
        self.number = number
        self.address = MemberAddress(
            name, incarnation, 'kerala', f'hall-{number % DOMAINS}', '10.0.0.1', 80, 70
        )
        self.is_alive = True
        self.is_cut_from_store = False
        # Instances of different groups do not reach each other.
        self.group = 0
        self.resumed = asyncio.Event()
        self.resumed.set()
        self._queue = []
        self.lag_s = fleet.rng.uniform(*LISTING_LAG_S)
        clock = LoopClock()
        telemetry = make_telemetry(clock)
        eras = StoreEra()
        client = StoreClient(self, eras)
        store = StreamStore(client, client, clock, telemetry)
        self.origins = StreamOrigins(store, clock, InstanceTimers(self))
        store.table = self.origins.table
        collector = OriginCollector(store, clock)
        if not fleet.is_store_used:
            self.origins.teller.on_collected = None
        else:
            self.origins.teller.on_collected = collector.collect
        self.roster = EndpointRoster(lambda *_: None, clock)
        configuration = ConfigurationState(4_500, 3_000)
        configuration.apply(make_deployment())
        keeper = MarkKeeper(
            store,
            self.origins,
            self.roster,
            configuration,
            eras,
            clock,
            random.Random(fleet.rng.random()),
            StreamTelemetry(telemetry),
        )
        self.origins.connect(self._send)
        self._codec = PeerCodec(name, incarnation, KEYS)
        self.tasks = [
            asyncio.create_task(collector.run()),
            asyncio.create_task(keeper.run()),
            asyncio.create_task(client.follow_era()),
        ]

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
        self.resumed.set()
        queue, self._queue = self._queue, []
        for callback in queue:
            self.run_or_queue(callback)

    def _send(self, action):
        if not self.fleet.is_told and not self._is_for_store(action.message):
            return
        self.fleet.count_message(action, self._codec)
        self.fleet.deliver(self, action.instance, action.message)

    def _is_for_store(self, message):
        """Return whether a message is a record to store, or a mark."""
        if not isinstance(message, StreamNews):
            return False
        return bool(message.marks) or any(group.stored for group in message.groups)

    def receive(self, sender, message):
        def handle():
            if isinstance(message, StreamNews):
                self.origins.handle_news(sender.name, message)
                if not self.fleet.is_told:
                    self.origins.table.expire(NEVER_MS)
            elif isinstance(message, StreamQuestion):
                answer = self.origins.respond(message)
                self.fleet.deliver(self, sender.name, answer)

        self.run_or_queue(handle)

    def set_members(self, addresses):
        alive = tuple(sorted(addresses | {self.address}))
        by_instance = {each.instance: each for each in alive}
        view = MemberView(self.address, alive, by_instance=by_instance)
        self.run_or_queue(lambda: self.origins.set_view(view))


class Resumption(NamedTuple):
    """A stream that a caller took up: whether it went on, and how that was known."""

    at_s: float
    outcome: str
    source: str


class StreamFleet:
    """Instances, endpoints and callers.

    :param instances: the number of instances.
    :param seed: seed of all random numbers.
    :param is_store_used: whether records are written to the store.
    :param is_told: whether records are told to other instances, and these asked.
    :param count_bytes: whether messages are encoded, to count their bytes.
    """

    def __init__(
        self, instances, seed, is_store_used=True, is_told=True, count_bytes=False
    ):
        self.rng = random.Random(seed)
        self.is_store_used = is_store_used
        self.is_told = is_told
        self._count_bytes = count_bytes
        self.store = SimulatedStore()
        # The endpoints, and their versions.
        self.endpoints = {}
        self._sequence = 0
        self._streams = 0
        self._incarnation = 0
        self.instances = {}
        self._names = [f'k{number}' for number in range(instances)]
        self._tasks = set()
        self.begun = 0
        self.resumptions = []
        self.wrong = []
        self.messages = Counter()
        self.message_bytes = 0

    # -- instances

    async def start(self):
        for number in range(len(self._names)):
            self._start(number)
        await asyncio.sleep(REGISTRATION_S)
        self._tell_members()

    def _start(self, number):
        self._incarnation += 1
        instance = Instance(self, self._names[number], number, self._incarnation)
        self.instances[instance.name] = instance
        # It lists all endpoints when it starts.
        for name, version in self.endpoints.items():
            self._list(instance, name, version, STORE_DELAY_S)
        return instance

    def alive(self):
        return [each for each in self.instances.values() if each.is_alive]

    def kill(self, instances, down_s=DOWN_S):
        """Kill some instances at once, and start them again."""
        for instance in instances:
            instance.kill()
        self._later(down_s, lambda: self._restart(instances))
        self._later(GONE_NOTICED_S, self._tell_members)

    def _restart(self, instances):
        for instance in instances:
            self._start(instance.number)
        self._later(REGISTRATION_S, self._tell_members)
        self._later(START_NOTICED_S, self._tell_members)

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
        self._later(GONE_NOTICED_S, self._tell_members)

    def pause(self, instance, duration_s):
        instance.resumed.clear()
        self._later(duration_s, instance.wake)

    # -- messages

    def count_message(self, action, codec):
        kind = type(action.message).__name__
        self.messages[kind] += 1
        if self._count_bytes:
            frame = codec.encode(action.instance, action.message)
            self.message_bytes += len(frame) + DATAGRAM_HEADER_BYTES

    def deliver(self, sender, name, message):
        def arrive():
            receiver = self.instances[name]
            if receiver.is_alive and receiver.group == sender.group:
                receiver.receive(sender, message)

        if sender.is_alive:
            self._later(DELAY_S, arrive)

    def _later(self, delay_s, callback):
        asyncio.get_running_loop().call_later(delay_s, callback)

    # -- endpoints

    def add_endpoint(self, name, version):
        self.endpoints[name] = version
        for instance in self.alive():
            self._list(instance, name, version)

    def _list(self, instance, name, version, lag_s=None):
        self._sequence += 1
        entry = make_entry(
            name, SERVICE, software_version=version, sequence=self._sequence
        )

        def apply():
            if name in self.endpoints and not instance.is_cut_from_store:
                instance.roster.apply(entry)

        lag_s = instance.lag_s if lag_s is None else lag_s
        self._later(lag_s, lambda: instance.run_or_queue(apply))

    def remove_endpoint(self, name):
        del self.endpoints[name]
        for instance in self.alive():
            self._unlist(instance, name)

    def _unlist(self, instance, name):
        def apply():
            now_ms = LoopClock().now_ms()
            instance.roster.remove(name, now_ms)

        self._later(instance.lag_s, lambda: instance.run_or_queue(apply))

    # -- callers

    async def begin_streams(self, rate_per_s, duration_s):
        """Begin streams at random instances."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + duration_s
        while loop.time() < ends_s:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            self._streams += 1
            task = asyncio.create_task(self._call(f'stream-{self._streams}'))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.sleep(0.1)

    def _usable(self, instance):
        records = instance.roster.usable(SERVICE)
        return [each for each in records if each.entry.endpoint in self.endpoints]

    async def _call(self, attempt):
        """Begin a stream, and take it up as often as its instance is killed."""
        candidates = [each for each in self.alive() if each.resumed.is_set()]
        if not candidates:
            return
        instance = self.rng.choice(candidates)
        records = instance.origins.select_to_begin(
            self._usable(instance), SERVICE, instance.roster.versions(SERVICE)
        )
        if not records:
            return
        entry = self.rng.choice(records).entry
        # What the endpoint really is, whatever the instance believes.
        truth = StreamOrigin(SERVICE, self.endpoints[entry.endpoint])
        key = make_stream_key('kochi', attempt)
        instance.origins.begin(
            key, StreamOrigin(SERVICE, entry.software_version), LIFETIME_MS
        )
        self.begun += 1
        remaining_s = self.rng.uniform(*STREAM_S)
        while True:
            remaining_s = await self._receive(instance, remaining_s)
            if remaining_s <= 0:
                if instance.is_alive:
                    instance.origins.complete(key)
                return
            instance = await self._take_up(key, truth)
            if instance is None:
                return

    async def _receive(self, instance, remaining_s):
        """Receive until the end or until the instance is gone; return what is left."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + remaining_s
        while instance.is_alive and loop.time() < ends_s:
            await asyncio.sleep(min(0.02, ends_s - loop.time()))
        return ends_s - loop.time()

    async def _take_up(self, key, truth):
        """Return the instance at which a stream goes on, or None."""
        source = ''
        for _ in range(MAX_TRIES):
            await asyncio.sleep(self.rng.uniform(0.05, RETRY_S))
            candidates = [each for each in self.alive() if each.resumed.is_set()]
            if not candidates:
                continue
            instance = self.rng.choice(candidates)
            finding = await self._find(instance, key)
            if finding is None:
                continue
            source = finding.source
            if finding.origin is None:
                continue
            if finding.origin != truth:
                self.wrong.append((key.hex(), truth, finding))
            outcome = self._continue(instance, key, finding.origin)
            self._record(outcome, source)
            return instance if outcome == 'continued' else None
        self._record('unknown', source)
        return None

    async def _find(self, instance, key):
        found = asyncio.get_running_loop().create_future()

        def set_result(finding):
            if not found.done():
                found.set_result(finding)

        instance.origins.find(key, SERVICE, set_result)
        while not found.done() and instance.is_alive:
            await asyncio.sleep(0.005)
        return found.result() if found.done() else None

    def _continue(self, instance, key, origin):
        versions = {each.entry.software_version for each in self._usable(instance)}
        if origin.version not in versions:
            return 'gone'
        instance.origins.begin(key, origin, LIFETIME_MS)
        return 'continued'

    def _record(self, outcome, source):
        at_s = asyncio.get_running_loop().time()
        self.resumptions.append(Resumption(at_s, outcome, source))

    def outcomes(self):
        """Return how many resumed streams ended how."""
        return Counter(each.outcome for each in self.resumptions)

    def known_share(self):
        """Return the share of the resumed streams whose origin was found."""
        outcomes = self.outcomes()
        return 1 - outcomes['unknown'] / max(1, outcomes.total())

    def stop(self):
        for instance in self.alive():
            instance.kill()
