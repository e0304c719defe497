"""A log of claims that fails as it is told, and keepers that use it."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING

from key_scene import KeyScene

from savorychute.actions import AppendRecord, ReadRecords
from savorychute.inputs import AppendFinished, RecordsRead
from savorychute.inputs.log_record import LogRecord
from savorychute.requests.request_key import TIME_SHIFT_BITS

if TYPE_CHECKING:
    from savorychute.requests import KeySettings


def make_uuid7(time_ms: int, rng: random.Random) -> str:
    low = rng.getrandbits(TIME_SHIFT_BITS)
    value = (time_ms << TIME_SHIFT_BITS) | low
    value = value & ~(0xF << 76) | (0x7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=value))


class ClaimScene(KeyScene):
    """Appends wait in ``appends`` until landed or refused; reads are instant."""

    ignores_log = False

    def __init__(self, settings: KeySettings | None = None) -> None:
        super().__init__(settings)
        self.rng = random.Random(7)
        self.records: list[LogRecord] = []
        self.expired = 0
        self.appends: list[tuple[str, AppendRecord]] = []
        self.is_readable = True
        for instance in 'abc':
            self.tick(instance)

    def make_key(self, age_ms: int = 0) -> str:
        """Make a key as a caller does."""
        return make_uuid7(self.now_ms - age_ms, self.rng)

    def collect(self, instance, results):
        """Keep appends, answer reads, and return the outcomes."""
        outcomes = []
        for result in super().collect(instance, results):
            if isinstance(result, AppendRecord):
                self.appends.append((instance, result))
            elif isinstance(result, ReadRecords):
                outcomes += self.read(instance, result)
            else:
                outcomes.append(result)
        return outcomes

    def read(self, instance, request):
        """Answer a read."""
        first = max(self.expired, request.from_offset)
        records = tuple(self.records[first : first + request.max_records])
        end = len(self.records)
        answer = RecordsRead('claims', True, records, self.expired, end)
        if not self.is_readable:
            answer = RecordsRead('claims', False)
        results = self.keepers[instance].records_read(answer, self.now_ms)
        return self.collect(instance, results)

    def land(self, outcome='appended'):
        """Let the oldest append land; tell its sender *outcome*."""
        instance, append = self.appends.pop(0)
        offset = len(self.records)
        if outcome != 'refused':
            self.records.append(LogRecord(offset, append.payload))
        if instance not in self.keepers:
            return []
        finished = AppendFinished(append.append_id, 'claims', outcome, offset)
        results = self.keepers[instance].append_finished(finished, self.now_ms)
        return self.collect(instance, results)

    def wait(self, instance, duration_ms):
        """Let time pass and an instance see it."""
        self.now_ms += duration_ms
        return self.tick(instance)
