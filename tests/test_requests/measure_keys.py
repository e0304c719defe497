"""Measures both ways of keys: latency, appends, an outage, memory, processor.

Run it by hand; times of the log and the network are virtual, so the latencies
do not depend on the machine.  Bytes and microseconds are of this machine.
"""

from __future__ import annotations

import heapq
import random
import time
import tracemalloc
from itertools import count

from claim_scene import make_uuid7
from key_scene import KeyScene, make_address

from savorychute.actions import AppendRecord, ReadRecords
from savorychute.inputs import AppendFinished, RecordsRead
from savorychute.inputs.log_record import LogRecord
from savorychute.membership.member_view import MemberView
from savorychute.requests import KeyKeeper, KeyMayRun, KeyRefused, KeySettings

TICK_MS = 10
DURATION_MS = 60_000
MARGIN_MS = 5_000
KEY_COUNT = 5_000
START_MS = 1_000_000


class ClaimRun:
    """One instance, a log with given delays, and Poisson arrivals of claims."""

    def __init__(self, rate_per_s, append_ms, read_ms, down=(0, 0)):
        self.rng = random.Random(3)
        self.rate_per_s = rate_per_s
        self.append_ms = append_ms
        self.read_ms = read_ms
        self.down = down
        self.address = make_address('a')
        self.view = MemberView(self.address, (self.address,))
        self.keeper = KeyKeeper(KeySettings(), self.address, self.rng)
        self.queue = []
        self.order = count()
        self.records = []
        self.arrived_ms = {}
        self.waits_ms = []
        self.refusals_ms = []
        self.appends = 0
        self.reads = 0

    def at(self, time_ms, step, *details):
        """Let something happen at a time."""
        heapq.heappush(self.queue, (time_ms, next(self.order), step, details))

    def run(self):
        """Run the whole duration and return what was measured."""
        # Callers come in the middle part, but for the margins at both ends.
        for time_ms in range(0, DURATION_MS, TICK_MS):
            self.at(START_MS + time_ms, self.tick)
        time_ms = float(START_MS + MARGIN_MS)
        while time_ms < START_MS + DURATION_MS - MARGIN_MS:
            time_ms += self.rng.expovariate(self.rate_per_s) * 1_000
            self.at(int(time_ms), self.arrive)
        while self.queue:
            now_ms, _order, step, details = heapq.heappop(self.queue)
            self.collect(step(now_ms, *details), now_ms)
        return self.summary()

    def summary(self):
        """Return the run's figures as text."""
        waits = sorted(self.waits_ms)
        middle = waits[len(waits) // 2]
        late = waits[int(len(waits) * 0.99)]
        per_s = 1_000 / (DURATION_MS - 2 * MARGIN_MS)
        text = f'{len(waits)} run, wait p50 {middle} ms p99 {late} ms'
        text += f', {self.appends * per_s:.1f} appends/s, {self.reads * per_s:.1f}'
        text += f' reads/s, {len(self.refusals_ms)} refused'
        if self.refusals_ms:
            refusals = sorted(self.refusals_ms)
            text += f', told after p50 {refusals[len(refusals) // 2]} ms'
            text += f' max {refusals[-1]} ms'
        return text

    def tick(self, now_ms):
        """Let the keeper see the time."""
        return self.keeper.tick(self.view, now_ms)

    def arrive(self, now_ms):
        """Let a caller bring a key."""
        request_id = f'r{len(self.arrived_ms)}'
        self.arrived_ms[request_id] = now_ms
        key = make_uuid7(now_ms, self.rng)
        return self.keeper.admit(request_id, key, 'f', self.view, now_ms)

    def land(self, now_ms, append):
        """Let an append take effect, or be refused in an outage."""
        if self.is_down(now_ms):
            finished = AppendFinished(append.append_id, 'claims', 'refused')
            return self.keeper.append_finished(finished, now_ms)
        offset = len(self.records)
        self.records.append(LogRecord(offset, append.payload))
        finished = AppendFinished(append.append_id, 'claims', 'appended', offset)
        return self.keeper.append_finished(finished, now_ms)

    def answer(self, now_ms, request):
        """Answer a read."""
        first = request.from_offset
        records = tuple(self.records[first : first + request.max_records])
        read = RecordsRead('claims', True, records, 0, len(self.records))
        if self.is_down(now_ms):
            read = RecordsRead('claims', False)
        return self.keeper.records_read(read, now_ms)

    def is_down(self, now_ms):
        """Return whether the log is in its outage."""
        return self.down[0] <= now_ms - START_MS < self.down[1]

    def collect(self, results, now_ms):
        """Do what the keeper asks for."""
        for result in results:
            if isinstance(result, AppendRecord):
                self.appends += 1
                self.at(now_ms + self.append_ms, self.land, result)
            elif isinstance(result, ReadRecords):
                self.reads += 1
                self.at(now_ms + self.read_ms, self.answer, result)
            elif isinstance(result, KeyMayRun):
                self.waits_ms.append(now_ms - self.arrived_ms[result.request_id])
                done = self.keeper.finish(result.request_id, 200, '', b'', now_ms)
                self.collect(done, now_ms)
            elif isinstance(result, KeyRefused):
                self.refusals_ms.append(now_ms - self.arrived_ms[result.request_id])


def measure_claims():
    """Print claims under several loads and states of the log."""
    for rate in (1, 28, 200):
        for append_ms, read_ms in ((8, 4), (300, 100)):
            run = ClaimRun(rate, append_ms, read_ms)
            print(f'{rate}/s, append {append_ms} ms, read {read_ms} ms: {run.run()}')
    run = ClaimRun(28, 8, 4, down=(20_000, 40_000))
    print(f'28/s, log down for 20 s: {run.run()}')


def measure_issued():
    """Print messages, microseconds and bytes of issued keys."""
    scene = KeyScene(KeySettings(max_keys=KEY_COUNT, outcome_max_count=KEY_COUNT))
    keys = [scene.issue('a') for _ in range(KEY_COUNT)]
    messages = 0
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    for number, key in enumerate(keys):
        scene.admit('a', f'r{number}', key, f'{number:032x}')
        scene.announce('a', f'r{number}', f'digest.a-{number}')
        messages += len(scene.mail)
        while scene.mail:
            sender, action = scene.mail.pop(0)
            keeper = scene.keepers[action.instance]
            view = scene.view(action.instance)
            results = keeper.receive(sender, action.message, view, scene.now_ms)
            messages += len(results) if action.instance != 'a' else 0
            scene.collect(action.instance, results)
        scene.keepers['a'].finish(f'r{number}', 200, '', b'x' * 200, scene.now_ms)
    scene.tick('a')
    used = tracemalloc.get_traced_memory()[0] - base
    tracemalloc.stop()
    print(f'issued: {messages / KEY_COUNT:.2f} messages a key before its start')
    print(f'issuer and witness: {used / KEY_COUNT:.0f} bytes a key, 200 of them body')
    print(f'issued key: {len(keys[-1])} characters')


def measure_processor():
    """Print the processor time of a key's whole life, without the codec."""
    scene = KeyScene(KeySettings(max_keys=KEY_COUNT, outcome_max_count=KEY_COUNT))
    begin_ns = time.process_time_ns()
    for number in range(KEY_COUNT):
        key = scene.issue('a')
        scene.admit('a', f'r{number}', key, 'f')
        scene.announce('a', f'r{number}')
        scene.deliver()
        scene.keepers['a'].finish(f'r{number}', 200, '', b'', scene.now_ms)
    used_us = (time.process_time_ns() - begin_ns) / 1_000
    print(f'issue, admit, announce, note, accept, finish: {used_us / KEY_COUNT:.0f} us')


def measure_part_bytes():
    """Print the bytes of one entry in each table."""
    from savorychute.requests.claim import Claim
    from savorychute.requests.claim_batch import ClaimBatch
    from savorychute.requests.claim_index import ClaimIndex
    from savorychute.requests.claim_owner import ClaimOwner
    from savorychute.requests.request_key import parse_key
    from savorychute.requests.start_notice import StartNotice
    from savorychute.requests.witness_book import WitnessBook

    settings = KeySettings()
    rng = random.Random(5)
    scene = KeyScene()
    keys = [scene.issue('a') for _ in range(KEY_COUNT)]
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    book = WitnessBook(settings, scene.addresses[parse_key(keys[0]).witness])
    noted = 0
    for number, text in enumerate(keys):
        key = parse_key(''.join(text))
        fingerprint = f'{number:032x}'
        notice = StartNotice(key.text, fingerprint, 'e1', f'd.a-{number}', 'h', 1)
        noted += book.note_start(key, notice, 1).accepted
    used = tracemalloc.get_traced_memory()[0] - base
    print(f'witness note: {used / noted:.0f} bytes, without the key text')
    base = tracemalloc.get_traced_memory()[0]
    index = ClaimIndex(settings)
    owner = ClaimOwner('a', 1)
    for number in range(KEY_COUNT):
        claim = Claim(f'{rng.getrandbits(128):032x}', f'{number:032x}')
        index.fold(ClaimBatch('', owner, 1, 0, (claim,)))
    used = tracemalloc.get_traced_memory()[0] - base
    print(f'claim index: {used / KEY_COUNT:.0f} bytes an entry')
    tracemalloc.stop()


if __name__ == '__main__':
    measure_claims()
    measure_issued()
    measure_processor()
    measure_part_bytes()
