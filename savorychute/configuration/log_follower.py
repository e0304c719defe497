"""Follow the configuration stream of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from savorychute.configuration.record_codec import decode_record
from savorychute.configuration.snapshot_assembler import SnapshotAssembler
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord

if TYPE_CHECKING:
    from savorychute.configuration.configuration_store import ConfigurationStore
    from savorychute.configuration.log_reader import LogReader
    from savorychute.configuration.snapshot_watch import SnapshotWatch
    from savorychute.inputs.log_record import LogRecord
    from savorychute.inputs.records_read import RecordsRead

READS_BEHIND = 3
"""How many answers in a row must end before the own offset to be believed; a
single one may have been overtaken by news from another instance."""


class LogFollower:
    """Folds what the log answers, and finds a snapshot where records are gone.

    :param store: what this instance has.
    :param reader: the reads.
    :param watch: the age of the newest snapshot.
    """

    def __init__(
        self, store: ConfigurationStore, reader: LogReader, watch: SnapshotWatch
    ) -> None:
        self._store = store
        self._reader = reader
        self._watch = watch
        self._assembler = SnapshotAssembler()
        self._scan_offset: int | None = None
        self.end_reached = False
        self._reads_behind = 0

    @property
    def log_is_behind(self) -> bool:
        """Whether the log ends before records that are in force.

        A log that lost its end gives their offsets again.  The new records are
        not folded, since versions would go down; operators must know.
        """
        return self._reads_behind >= READS_BEHIND

    @property
    def next_offset(self) -> int:
        """The first offset to read."""
        if self._scan_offset is not None:
            return self._scan_offset
        return self._store.offset + 1

    def records_read(self, read: RecordsRead, now_ms: int) -> None:
        """Take in an answer of the log.

        An answer may be late and start anywhere; only a record that follows
        the last one is folded.

        :param read: the answer.
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
            self._reader.hurry(now_ms)

    def _scan(self, read: RecordsRead, now_ms: int) -> None:
        """Look for a snapshot that stands for the records that are gone.

        Shows at the start of an instance on an old log, and on one that heard
        nothing for longer than the log keeps records.
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

    def _adopt_from(self, record: LogRecord, first_kept: int, now_ms: int) -> bool:
        decoded = decode_record(record.payload)
        if decoded is None or decoded['kind'] != SNAPSHOT_KIND:
            return False
        part = cast('SnapshotRecord', decoded)
        self._watch.note_part(part, record.offset, now_ms, fresh=False)
        snapshot = self._assembler.add(part, record.offset)
        if snapshot is None:
            return False
        # With a gap before the first record that is kept, changes would be
        # missing; one that claims to hold its own offset or later is no true
        # snapshot, and would keep this instance from following the log.
        through_offset = snapshot.through_offset
        if not first_kept - 1 <= through_offset < snapshot.first_part_offset:
            return False
        return self._store.adopt(snapshot.data, through_offset)
