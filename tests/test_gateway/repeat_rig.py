"""Instances that repeat all they may, on one clock, and a judge of what arrives."""

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
    """The topic of instances: may be down, lose answers and go back."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._written_ms = []
        self.records = []
        self.era = 1
        self.down = False
        self.loses_answers = False
        self._fences = {}
        # Writes without an answer, which take effect later if they still may.
        self._late = []

    def go_back(self, age_s):
        """Come back from a copy that is some seconds old."""
        kept = bisect_right(self._written_ms, self._fleet.now_ms - age_s * MS_PER_S)
        del self.records[kept:]
        del self._written_ms[kept:]
        self.era += 1

    def deliver_late(self):
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
        if self.loses_answers:
            self._late.append((key, value, expected_end, fence))
            raise StoreUnavailableError('no answer')
        self._append(key, value, expected_end, fence)

    def _append(self, key, value, expected_end, fence):
        if expected_end not in (None, len(self.records)):
            raise WriteConflictError('written by another')
        if fence is not None:
            if fence.number <= self._fences.get(fence.writer, -1):
                raise WriteFencedError('a later write was taken')
            self._fences[fence.writer] = fence.number
        self._written_ms.append(self._fleet.now_ms)
        self.records.append(KeyedRecord(len(self.records), key, value))


class Run:
    """One run of an instance; its clock stands still while it is frozen."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._asleep_ms = 0
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
        self.allowance.cap.entered()
        self.sharers.list(self.registration.listing.names)
        self.meet({self.registration.address.instance})

    def meet(self, names):
        if self.registered:
            self.sharers.meet(names)
            self.allowance.instances = self.sharers.count

    def notice_era(self):
        if self.registered and self.registration.era != self._fleet.topic.era:
            complete(self.registration.restore_entry())

    def leave(self):
        self.leaving = True
        repeats = self.allowance.close(self._now_ms())
        if self.registered:
            complete(self.registration.leave(repeats))

    def tick(self, requests):
        if self.frozen:
            self._asleep_ms += TICK_MS
            return
        self.try_register()
        self.notice_era()
        now_ms = self._now_ms()
        self._follow_cap(now_ms)
        for _ in range(requests):
            self.allowance.request(SERVICE, now_ms)
        while self._fleet.storm and self.allowance.try_spend(SERVICE, now_ms).granted:
            self._fleet.repeats_ms.append(self._fleet.now_ms)

    def _follow_cap(self, now_ms):
        change = self.allowance.cap_change(now_ms) if self.registered else None
        if change is None:
            return
        self.allowance.cap.change_begins(change)
        if complete(self.registration.write_retry_limit(change)):
            self.allowance.cap.change_is_known(change)

    def _now_ms(self):
        return self._fleet.now_ms - self._asleep_ms


class RepeatFleet:
    """Instances by name, those that run, and what endpoints get of them."""

    def __init__(self, instances, requests, bounds=BOUNDS):
        self.now_ms = 0
        self.topic = SharedTopic(self)
        self.bounds = bounds
        # Of each instance in a tick; parts of one add up.
        self.requests = requests
        self._due = {}
        self.requests_ms = []
        self.repeats_ms = []
        self.cut = set()
        # Whether endpoints turn every attempt away.
        self.storm = False
        self.runs = {}
        for number in range(instances):
            self.start(f'k{number}')
        self.gossip()

    def start(self, name):
        if self.runs.get(name) is None:
            self.runs[name] = Run(self, name)

    def kill(self, name):
        self.runs[name] = None

    def running(self, name):
        return self.runs.get(name)

    def gossip(self):
        """Let all hear of each other that are not cut off."""
        linked = {
            name
            for name, run in self.runs.items()
            if run is not None and run.registered and not run.frozen
        } - self.cut
        for name in linked:
            self.runs[name].meet(linked)

    def tick(self):
        self.now_ms += TICK_MS
        for number, (name, run) in enumerate(list(self.runs.items())):
            begun = self._due.get(name, number / len(self.runs)) + self.requests
            requests, self._due[name] = int(begun), begun % 1
            self.requests_ms += [self.now_ms] * requests
            if run is not None:
                run.tick(requests)

    def find_excess(self):
        """Return by how much the worst window passes the bound, and when it begins."""
        return max(
            (self.count_repeats(at_ms) - self.find_allowed(at_ms), at_ms)
            for at_ms in set(self.repeats_ms)
        )

    def count_repeats(self, begin_ms):
        end_ms = begin_ms + self.bounds.window_ms
        return count_between(self.repeats_ms, begin_ms, end_ms)

    def find_allowed(self, begin_ms):
        window_ms = self.bounds.window_ms
        begins_ms = (begin_ms - window_ms, begin_ms - window_ms // 2, begin_ms)
        requests = max(
            count_between(self.requests_ms, each, each + window_ms)
            for each in begins_ms
        )
        return self.bounds.ratio * requests + self.bounds.slack


def count_between(times_ms, begin_ms, end_ms):
    return bisect_left(times_ms, end_ms) - bisect_left(times_ms, begin_ms)


def complete(work):
    """Run work that waits for nothing; return whether the store did it."""
    try:
        work.send(None)
    except StopIteration:
        return True
    except StoreUnavailableError:
        return False
    raise AssertionError('the work waits')
