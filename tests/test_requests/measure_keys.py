"""Measures issued and caller-supplied keys: latency, appends, memory, processor.

Run it manually.  The times of the log and the network are virtual, so the latencies
do not depend on the machine; bytes and microseconds do.
"""

from __future__ import annotations

import heapq
import random
import time
import tracemalloc
from itertools import count

from claim_fixture import make_uuid7
from key_fixture import KeyFixture, make_address

from savorychute.actions import AppendRecord, ReadRecords
from savorychute.inputs import AppendFinished, RecordsRead
from savorychute.inputs.log_record import LogRecord
from savorychute.membership.member_view import MemberView
from savorychute.requests import KeyGranted, KeyManager, KeyRefused, KeySettings

TICK_MS = 10
DURATION_MS = 60_000
MARGIN_MS = 5_000
KEY_COUNT = 5_000
START_MS = 1_000_000


class ClaimRun:
    """One instance, a log with fixed delays, and Poisson arrivals of claims."""

    def __init__(self, rate_per_s, append_ms, read_ms, outage=(0, 0)):
        self.rng = random.Random(3)
        self.rate_per_s = rate_per_s
        self.append_ms = append_ms
        self.read_ms = read_ms
        self.outage = outage
        self.address = make_address('a')
        self.view = MemberView(self.address, (self.address,))
        self.manager = KeyManager(KeySettings(), self.address, self.rng)
        self.queue = []
        self.sequence = count()
        self.records = []
        self.arrived_ms = {}
        self.waits_ms = []
        self.refusals_ms = []
        self.appends = 0
        self.reads = 0

    def schedule(self, time_ms, step, *details):
        """Schedule *step* at a time."""
        heapq.heappush(self.queue, (time_ms, next(self.sequence), step, details))

    def run(self):
        """Run for the whole duration and return the summary."""
        # Requests arrive in the whole duration except for the margins at both ends.
        for time_ms in range(0, DURATION_MS, TICK_MS):
            self.schedule(START_MS + time_ms, self.tick)
        time_ms = float(START_MS + MARGIN_MS)
        while time_ms < START_MS + DURATION_MS - MARGIN_MS:
            time_ms += self.rng.expovariate(self.rate_per_s) * 1_000
            self.schedule(int(time_ms), self.arrive)
        while self.queue:
            now_ms, _sequence, step, details = heapq.heappop(self.queue)
            self.process_results(step(now_ms, *details), now_ms)
        return self.summary()

    def summary(self):
        """Return the measured figures as text."""
        waits = sorted(self.waits_ms)
        median_ms = waits[len(waits) // 2]
        p99_ms = waits[int(len(waits) * 0.99)]
        per_s = 1_000 / (DURATION_MS - 2 * MARGIN_MS)
        text = f'{len(waits)} run, wait p50 {median_ms} ms p99 {p99_ms} ms'
        text += f', {self.appends * per_s:.1f} appends/s, {self.reads * per_s:.1f}'
        text += f' reads/s, {len(self.refusals_ms)} refused'
        if self.refusals_ms:
            refusals = sorted(self.refusals_ms)
            text += f', refused after p50 {refusals[len(refusals) // 2]} ms'
            text += f' max {refusals[-1]} ms'
        return text

    def tick(self, now_ms):
        """Tick the key manager."""
        return self.manager.tick(self.view, now_ms)

    def arrive(self, now_ms):
        """Send a request with a caller-supplied key."""
        request_id = f'r{len(self.arrived_ms)}'
        self.arrived_ms[request_id] = now_ms
        key = make_uuid7(now_ms, self.rng)
        return self.manager.admit(request_id, key, 'f', self.view, now_ms)

    def complete_append(self, now_ms, append):
        """Complete an append, or refuse it during an outage."""
        if self.is_in_outage(now_ms):
            finished = AppendFinished(append.append_id, 'claims', 'refused')
            return self.manager.append_finished(finished, now_ms)
        offset = len(self.records)
        self.records.append(LogRecord(offset, append.payload))
        finished = AppendFinished(append.append_id, 'claims', 'appended', offset)
        return self.manager.append_finished(finished, now_ms)

    def respond_to_read(self, now_ms, request):
        """Respond to a read from the log."""
        first_offset = request.from_offset
        records = tuple(self.records[first_offset : first_offset + request.max_records])
        read = RecordsRead('claims', True, records, 0, len(self.records))
        if self.is_in_outage(now_ms):
            read = RecordsRead('claims', False)
        return self.manager.records_read(read, now_ms)

    def is_in_outage(self, now_ms):
        """Return whether the log is in its outage."""
        return self.outage[0] <= now_ms - START_MS < self.outage[1]

    def process_results(self, results, now_ms):
        """Carry out the results of the key manager."""
        for result in results:
            if isinstance(result, AppendRecord):
                self.appends += 1
                self.schedule(now_ms + self.append_ms, self.complete_append, result)
            elif isinstance(result, ReadRecords):
                self.reads += 1
                self.schedule(now_ms + self.read_ms, self.respond_to_read, result)
            elif isinstance(result, KeyGranted):
                self.waits_ms.append(now_ms - self.arrived_ms[result.request_id])
                done = self.manager.finish(result.request_id, 200, '', b'', now_ms)
                self.process_results(done, now_ms)
            elif isinstance(result, KeyRefused):
                self.refusals_ms.append(now_ms - self.arrived_ms[result.request_id])


def measure_claims():
    """Print the figures of claims for several loads and delays of the log."""
    for rate in (1, 28, 200):
        for append_ms, read_ms in ((8, 4), (300, 100)):
            run = ClaimRun(rate, append_ms, read_ms)
            print(f'{rate}/s, append {append_ms} ms, read {read_ms} ms: {run.run()}')
    run = ClaimRun(28, 8, 4, outage=(20_000, 40_000))
    print(f'28/s, log down for 20 s: {run.run()}')


def measure_issued():
    """Print the messages and bytes of issued keys."""
    cluster = KeyFixture(KeySettings(max_keys=KEY_COUNT, outcome_max_count=KEY_COUNT))
    keys = [cluster.issue('a') for _ in range(KEY_COUNT)]
    messages = 0
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    for number, key in enumerate(keys):
        cluster.admit('a', f'r{number}', key, f'{number:032x}')
        cluster.announce('a', f'r{number}', f'digest.a-{number}')
        messages += len(cluster.in_flight)
        while cluster.in_flight:
            sender, action = cluster.in_flight.pop(0)
            manager = cluster.managers[action.instance]
            view = cluster.view(action.instance)
            results = manager.receive(sender, action.message, view, cluster.now_ms)
            messages += len(results) if action.instance != 'a' else 0
            cluster.process_results(action.instance, results)
        cluster.managers['a'].finish(f'r{number}', 200, '', b'x' * 200, cluster.now_ms)
    cluster.tick('a')
    used = tracemalloc.get_traced_memory()[0] - base
    tracemalloc.stop()
    print(f'issued: {messages / KEY_COUNT:.2f} messages a key before its start')
    print(f'issuer and witness: {used / KEY_COUNT:.0f} bytes a key, 200 of them body')
    print(f'issued key: {len(keys[-1])} characters')


def measure_processor():
    """Print the processor time of a key from issue to finish, without the codec."""
    cluster = KeyFixture(KeySettings(max_keys=KEY_COUNT, outcome_max_count=KEY_COUNT))
    start_ns = time.process_time_ns()
    for number in range(KEY_COUNT):
        key = cluster.issue('a')
        cluster.admit('a', f'r{number}', key, 'f')
        cluster.announce('a', f'r{number}')
        cluster.deliver()
        cluster.managers['a'].finish(f'r{number}', 200, '', b'', cluster.now_ms)
    used_us = (time.process_time_ns() - start_ns) / 1_000
    print(
        f'issue, admit, announce, record, accept, finish: {used_us / KEY_COUNT:.0f} us'
    )


def measure_part_bytes():
    """Print the bytes of one record in the witness table and in the claim index."""
    from savorychute.requests.claim import Claim
    from savorychute.requests.claim_batch import ClaimBatch
    from savorychute.requests.claim_index import ClaimIndex
    from savorychute.requests.claim_owner import ClaimOwner
    from savorychute.requests.request_key import parse_key
    from savorychute.requests.start_notice import StartNotice
    from savorychute.requests.witness_table import WitnessTable

    settings = KeySettings()
    rng = random.Random(5)
    cluster = KeyFixture()
    keys = [cluster.issue('a') for _ in range(KEY_COUNT)]
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    table = WitnessTable(settings, cluster.addresses[parse_key(keys[0]).witness])
    recorded = 0
    for number, text in enumerate(keys):
        key = parse_key(''.join(text))
        fingerprint = f'{number:032x}'
        notice = StartNotice(key.text, fingerprint, 'e1', f'd.a-{number}', 'h', 1)
        recorded += table.record_start(key, notice, 1).accepted
    used = tracemalloc.get_traced_memory()[0] - base
    print(f'witness record: {used / recorded:.0f} bytes, without the key text')
    base = tracemalloc.get_traced_memory()[0]
    index = ClaimIndex(settings)
    owner = ClaimOwner('a', 1)
    for number in range(KEY_COUNT):
        claim = Claim(f'{rng.getrandbits(128):032x}', f'{number:032x}')
        index.apply(ClaimBatch('', owner, 1, 0, (claim,)))
    used = tracemalloc.get_traced_memory()[0] - base
    print(f'claim index: {used / KEY_COUNT:.0f} bytes an entry')
    tracemalloc.stop()


if __name__ == '__main__':
    measure_claims()
    measure_issued()
    measure_processor()
    measure_part_bytes()
