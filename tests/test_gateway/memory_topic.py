"""An in-memory topic of instances."""

from __future__ import annotations

from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.store_errors import (
    StoreUnavailableError,
    WriteConflictError,
    WriteFencedError,
)
from savorychute.gateway.store.topic_snapshot import TopicSnapshot
from savorychute.member_address import MemberAddress

OWN = MemberAddress('k0', 0, 'kerala', 'kochi', '10.0.0.1', 80, 70)


class MemoryTopic:
    """A topic in memory.

    The first ``responses_to_lose`` writes take effect without a response.
    """

    def __init__(self, responses_to_lose=0):
        self.records = []
        self.fences = {}
        self.responses_to_lose = responses_to_lose
        self.era = 1

    def restore_older_copy(self, count):
        """Keep only the first records."""
        del self.records[count:]
        self.era += 1

    async def list_newest(self):
        newest = {record.key: record for record in self.records}
        return TopicSnapshot(tuple(newest.values()), len(self.records), self.era)

    async def write(self, key, value, expected_end=None, fence=None):
        if expected_end not in (None, len(self.records)):
            raise WriteConflictError('written by another')
        if fence is not None:
            if fence.number <= self.fences.get(fence.writer, -1):
                raise WriteFencedError('a later write was accepted')
            self.fences[fence.writer] = fence.number
        self.records.append(KeyedRecord(len(self.records), key, value))
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise StoreUnavailableError('no response')

    def count(self, key):
        return sum(record.key == key for record in self.records)


def ignore_call(purpose):
    """Ignore the purpose of a call."""
