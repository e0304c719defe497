"""Key managers that share a log of claims with injectable faults."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING

from key_fixture import KeyFixture

from savorychute.actions import AppendRecord, ReadRecords
from savorychute.inputs import AppendFinished, RecordsRead
from savorychute.inputs.log_record import LogRecord
from savorychute.requests.request_key import TIME_SHIFT_BITS

if TYPE_CHECKING:
    from savorychute.requests import KeySettings


def make_uuid7(time_ms: int, rng: random.Random) -> str:
    random_bits = rng.getrandbits(TIME_SHIFT_BITS)
    value = (time_ms << TIME_SHIFT_BITS) | random_bits
    value = value & ~(0xF << 76) | (0x7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=value))


class ClaimFixture(KeyFixture):
    """Appends stay in ``appends`` until completed; reads get a response at once."""

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
        """Return a new caller-supplied key."""
        return make_uuid7(self.now_ms - age_ms, self.rng)

    def process_results(self, instance, results):
        """Queue appends, response reads and return the outcomes."""
        outcomes = []
        for result in super().process_results(instance, results):
            if isinstance(result, AppendRecord):
                self.appends.append((instance, result))
            elif isinstance(result, ReadRecords):
                outcomes += self.read(instance, result)
            else:
                outcomes.append(result)
        return outcomes

    def read(self, instance, request):
        """Respond to a read from the log."""
        first_offset = max(self.expired, request.from_offset)
        records = tuple(self.records[first_offset : first_offset + request.max_records])
        end_offset = len(self.records)
        response = RecordsRead('claims', True, records, self.expired, end_offset)
        if not self.is_readable:
            response = RecordsRead('claims', False)
        results = self.managers[instance].records_read(response, self.now_ms)
        return self.process_results(instance, results)

    def complete_append(self, outcome='appended'):
        """Complete the oldest append and report *outcome* to its sender."""
        instance, append = self.appends.pop(0)
        offset = len(self.records)
        if outcome != 'refused':
            self.records.append(LogRecord(offset, append.payload))
        if instance not in self.managers:
            return []
        finished = AppendFinished(append.append_id, 'claims', outcome, offset)
        results = self.managers[instance].append_finished(finished, self.now_ms)
        return self.process_results(instance, results)

    def advance(self, instance, duration_ms):
        """Advance the clock and tick an instance."""
        self.now_ms += duration_ms
        return self.tick(instance)
