"""How old the newest snapshot in the log is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.configuration_state import NO_OFFSET

if TYPE_CHECKING:
    from savorychute.configuration.settings import ConfigurationSettings
    from savorychute.configuration.snapshot_record import SnapshotRecord

MAX_OPEN_SNAPSHOTS = 8


class SnapshotWatch:
    """Tells when the newest complete snapshot should be followed by another.

    Its age is counted from when some instance first read it.  Instances tell
    one another the age as a duration, so it survives the replacement of all
    of them one by one.

    :param settings: age and distance at which a snapshot is due.
    """

    def __init__(self, settings: ConfigurationSettings) -> None:
        self._settings = settings
        self._seen_ms = 0
        self._parts: dict[str, set[int]] = {}
        self._first_offsets: dict[str, int] = {}
        self._age_known = True
        self.offset = NO_OFFSET
        self.begun_ms: int | None = None

    def start(self, now_ms: int) -> None:
        """Count the age of a snapshot that nobody knows from now on."""
        self._seen_ms = now_ms

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the newest snapshot was first read."""
        return max(0, now_ms - self._seen_ms)

    def note_part(
        self, record: SnapshotRecord, offset: int, now_ms: int, fresh: bool
    ) -> None:
        """Take note of a part that was read.

        :param record: the part; its data does not matter.
        :param offset: where it stands in the log.
        :param fresh: whether it was appended just now, as far as can be told.
        """
        snapshot_id = record['snapshot_id']
        if fresh:
            self.begun_ms = now_ms
        parts = self._parts.setdefault(snapshot_id, set())
        first_offset = self._first_offsets.setdefault(snapshot_id, offset)
        parts.add(record['part'])
        if len(parts) >= record['parts'] and first_offset > self.offset:
            self.offset = first_offset
            self._seen_ms = now_ms
            self._age_known = fresh
        while len(self._parts) > MAX_OPEN_SNAPSHOTS:
            oldest = next(iter(self._parts))
            del self._parts[oldest]
            del self._first_offsets[oldest]

    def hear(self, offset: int, age_ms: int, now_ms: int) -> None:
        """Take in what another instance knows.

        :param offset: of the newest snapshot that it knows.
        :param age_ms: how old that one is.
        """
        if offset < max(self.offset, 0):
            return
        if offset > self.offset:
            self.offset = offset
            self._seen_ms = now_ms - age_ms
        self._seen_ms = min(self._seen_ms, now_ms - age_ms)
        self._age_known = True

    def is_due(self, last_offset: int, first_kept: int, now_ms: int) -> bool:
        """Return whether it is time for another snapshot.

        :param last_offset: of the newest record.
        :param first_kept: the oldest offset that the log still has.
        """
        if last_offset == NO_OFFSET:
            return False
        if self.age_ms(now_ms) >= self._settings.snapshot_interval_ms:
            return True
        if last_offset - self.offset >= self._settings.snapshot_records:
            return True
        if self.is_urgent(first_kept):
            return True
        # After a restart of everything nobody knows the age.  The place among
        # the records that are kept stands for it.
        kept = last_offset - first_kept
        in_older_half = self.offset - first_kept < kept / 2
        return not self._age_known and first_kept > 0 and in_older_half

    def is_urgent(self, first_kept: int) -> bool:
        """Return whether the log has lost records that no snapshot there covers.

        Shows after a log outage that outlasted the retention; until the next
        snapshot, only the instances that run have the configuration.

        :param first_kept: the oldest offset that the log still has.
        """
        return first_kept > max(self.offset, 0)
