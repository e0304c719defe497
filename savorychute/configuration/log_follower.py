"""Follow the configuration stream of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from savorychute.configuration.record_codec import decode_record
from savorychute.configuration.snapshot_assembler import SnapshotAssembler
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord

if TYPE_CHECKING:
    from savorychute.configuration.configuration_store import ConfigurationStore
    from savorychute.configuration.log_reader import LogReader
    from savorychute.configuration.snapshot_monitor import SnapshotMonitor
    from savorychute.inputs.log_record import LogRecord
    from savorychute.inputs.records_read import RecordsRead

MIN_READS_BEHIND = 3
"""The number of consecutive reads after which the log counts as behind.

Each of them must end before this instance's offset.  A single read may be outdated by
records that another instance pushed meanwhile.
"""


class LogFollower:
    """Folds the records read from the log, and uses a snapshot for expired ones.

    :param store: the configuration that this instance holds.
    :param reader: schedules the reads.
    :param snapshot_monitor: tracks the age of the newest snapshot.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        reader: LogReader,
        snapshot_monitor: SnapshotMonitor,
    ) -> None:
        self._store = store
        self._reader = reader
        self._snapshot_monitor = snapshot_monitor
        self._assembler = SnapshotAssembler()
        self._scan_offset: int | None = None
        self.end_reached = False
        self._reads_behind = 0

    @property
    def log_is_behind(self) -> bool:
        """Whether the log ends before records that are in force.

        A log that lost its newest records assigns their offsets again.  The new
        records are not folded, since versions would decrease; operators must be
        informed.
        """
        return self._reads_behind >= MIN_READS_BEHIND

    @property
    def next_offset(self) -> int:
        """The first offset to read."""
        if self._scan_offset is not None:
            return self._scan_offset
        return self._store.offset + 1

    def records_read(self, read: RecordsRead, now_ms: int) -> None:
        """Handle a response of the log to a read.

        A response may be late and start at any offset; only a record that follows
        the last one is folded.

        :param read: the response.
        """
        if not self._reader.finish(read, now_ms):
            return
        before = self.next_offset
        if self._store.offset + 1 < read.first_offset:
            self._scan(read, now_ms)
        else:
            self._scan_offset = None
            for record in read.records:
                self._store.apply(record)
        is_behind = read.end_offset <= self._store.offset
        self._reads_behind = self._reads_behind + 1 if is_behind else 0
        if self._store.offset + 1 >= read.end_offset:
            self.end_reached = True
        elif self.next_offset != before:
            self._reader.read_at_once(now_ms)

    def _scan(self, read: RecordsRead, now_ms: int) -> None:
        """Look for a snapshot that replaces the expired records.

        This is needed when an instance starts on an old log, and when it received
        nothing for longer than the retention of the log.
        """
        if self._scan_offset is None:
            self._assembler.clear()
            self._scan_offset = read.first_offset
        self._scan_offset = max(self._scan_offset, read.first_offset)
        for record in read.records:
            if record.offset != self._scan_offset:
                continue
            self._scan_offset += 1
            if self._adopt_from(record, read.first_offset, now_ms):
                self._scan_offset = None
                return

    def _adopt_from(
        self, record: LogRecord, first_retained_offset: int, now_ms: int
    ) -> bool:
        decoded = decode_record(record.payload)
        if decoded is None or decoded['kind'] != SNAPSHOT_KIND:
            return False
        part = cast('SnapshotRecord', decoded)
        self._snapshot_monitor.record_part(part, record.offset, now_ms, fresh=False)
        snapshot = self._assembler.add(part, record.offset)
        if snapshot is None:
            return False
        # With a gap between the snapshot and the first retained record, changes would
        # be missing.  A snapshot that claims to include its own offset or a later one
        # is invalid, and would prevent this instance from following the log.
        through_offset = snapshot.through_offset
        if not first_retained_offset - 1 <= through_offset < snapshot.first_part_offset:
            return False
        return self._store.adopt(snapshot.data, through_offset)
