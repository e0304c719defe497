"""Simulated instances that send every allowed retry, and checks of the retry bound."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from contextlib import suppress

from memory_topic import ignore_call

from savorychute.clock import MS_PER_S
from savorychute.gateway.recovery.retry_allowance import RetryAllowance, RetryBounds
from savorychute.gateway.recovery.slack_sharers import SlackSharers
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.registration import Registration
from savorychute.gateway.store.store_errors import (
    StoreUnavailableError,
    WriteConflictError,
    WriteFencedError,
)
from savorychute.gateway.store.topic_snapshot import TopicSnapshot
from savorychute.member_address import MemberAddress

BOUNDS = RetryBounds(ratio=0.2, window_ms=10_000, slack=40)
TICK_MS = 250
SERVICE = 'pool'


class SharedTopic:
    """The topic of instances; it can be down, lose responses and be restored."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._written_ms = []
        self.records = []
        self.era = 1
        self.down = False
        self.loses_responses = False
        self._fences = {}
        # Writes without a response, which take effect later if there is no conflict.
        self._late = []

    def restore_backup(self, age_s):
        """Restore a backup that is *age_s* seconds old."""
        kept = bisect_right(self._written_ms, self._fleet.now_ms - age_s * MS_PER_S)
        del self.records[kept:]
        del self._written_ms[kept:]
        self.era += 1

    def apply_late_writes(self):
        late, self._late = self._late, []
        for write in late:
            with suppress(WriteConflictError, WriteFencedError):
                self._append(*write)

    async def list_newest(self):
        if self.down:
            raise StoreUnavailableError('down')
        newest = {record.key: record for record in self.records}
        return TopicSnapshot(tuple(newest.values()), len(self.records), self.era)

    async def write(self, key, value, expected_end=None, fence=None):
        if self.down:
            raise StoreUnavailableError('down')
        if self.loses_responses:
            self._late.append((key, value, expected_end, fence))
            raise StoreUnavailableError('no response')
        self._append(key, value, expected_end, fence)

    def _append(self, key, value, expected_end, fence):
        if expected_end not in (None, len(self.records)):
            raise WriteConflictError('written by another')
        if fence is not None:
            if fence.number <= self._fences.get(fence.writer, -1):
                raise WriteFencedError('a later write was accepted')
            self._fences[fence.writer] = fence.number
        self._written_ms.append(self._fleet.now_ms)
        self.records.append(KeyedRecord(len(self.records), key, value))


class InstanceRun:
    """One run of an instance; its clock stops while it is frozen."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._frozen_ms = 0
        self.frozen = False
        self.leaving = False
        address = MemberAddress(name, 0, 'kerala', 'kochi', '10.0.0.1', 80, 70)
        self.registration = Registration(fleet.topic, address, ignore_call)
        self.allowance = RetryAllowance(fleet.bounds, self._now_ms())
        self.sharers = SlackSharers()
        self.registered = False
        self.try_register()

    def try_register(self):
        inherit = self.allowance.inherit
        if self.registered or not complete(self.registration.register(inherit)):
            return
        self.registered = True
        self.allowance.cap.mark_stored()
        self.sharers.set_listed(self.registration.listing.names)
        self.add_alive({self.registration.address.instance})

    def add_alive(self, names):
        if self.registered:
            self.sharers.add_alive(names)
            self.allowance.instances = self.sharers.count

    def check_era(self):
        if self.registered and self.registration.era != self._fleet.topic.era:
            complete(self.registration.restore_entry())

    def leave(self):
        self.leaving = True
        retries = self.allowance.close(self._now_ms())
        if self.registered:
            complete(self.registration.leave(retries))

    def tick(self, requests):
        if self.frozen:
            self._frozen_ms += TICK_MS
            return
        self.try_register()
        self.check_era()
        now_ms = self._now_ms()
        self._update_cap(now_ms)
        for _ in range(requests):
            self.allowance.count_request(SERVICE, now_ms)
        while self._fleet.storm and self.allowance.try_spend(SERVICE, now_ms).granted:
            self._fleet.retries_ms.append(self._fleet.now_ms)

    def _update_cap(self, now_ms):
        change = self.allowance.find_cap_change(now_ms) if self.registered else None
        if change is None:
            return
        self.allowance.cap.change_started(change)
        if complete(self.registration.write_retry_cap(change)):
            self.allowance.cap.change_confirmed(change)

    def _now_ms(self):
        return self._fleet.now_ms - self._frozen_ms


class RetryFleet:
    """Simulated instances, by name, and the requests and retries that they send."""

    def __init__(self, instances, requests, bounds=BOUNDS):
        self.now_ms = 0
        self.topic = SharedTopic(self)
        self.bounds = bounds
        # Requests of each instance per tick; fractions accumulate.
        self.requests = requests
        self._due = {}
        self.requests_ms = []
        self.retries_ms = []
        self.cut_off_names = set()
        # Whether endpoints reject every attempt.
        self.storm = False
        self.runs = {}
        for number in range(instances):
            self.start(f'k{number}')
        self.gossip()

    def start(self, name):
        if self.runs.get(name) is None:
            self.runs[name] = InstanceRun(self, name)

    def kill(self, name):
        self.runs[name] = None

    def running(self, name):
        return self.runs.get(name)

    def gossip(self):
        """Make all instances that are not cut off known to each other."""
        linked = {
            name
            for name, run in self.runs.items()
            if run is not None and run.registered and not run.frozen
        } - self.cut_off_names
        for name in linked:
            self.runs[name].add_alive(linked)

    def tick(self):
        self.now_ms += TICK_MS
        for number, (name, run) in enumerate(list(self.runs.items())):
            due = self._due.get(name, number / len(self.runs)) + self.requests
            requests, self._due[name] = int(due), due % 1
            self.requests_ms += [self.now_ms] * requests
            if run is not None:
                run.tick(requests)

    def find_excess(self):
        """Return by how much the worst window exceeds the bound, and when it starts."""
        return max(
            (self.count_retries(at_ms) - self.find_allowed(at_ms), at_ms)
            for at_ms in set(self.retries_ms)
        )

    def count_retries(self, start_ms):
        end_ms = start_ms + self.bounds.window_ms
        return count_between(self.retries_ms, start_ms, end_ms)

    def find_allowed(self, start_ms):
        window_ms = self.bounds.window_ms
        starts_ms = (start_ms - window_ms, start_ms - window_ms // 2, start_ms)
        requests = max(
            count_between(self.requests_ms, each, each + window_ms)
            for each in starts_ms
        )
        return self.bounds.ratio * requests + self.bounds.slack


def count_between(times_ms, start_ms, end_ms):
    return bisect_left(times_ms, end_ms) - bisect_left(times_ms, start_ms)


def complete(coroutine):
    """Run a coroutine that never waits; return whether the store completed it."""
    try:
        coroutine.send(None)
    except StopIteration:
        return True
    except StoreUnavailableError:
        return False
    raise AssertionError('the coroutine waits')
