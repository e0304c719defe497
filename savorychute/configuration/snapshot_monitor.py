"""Tracking of the age of the newest snapshot in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.configuration_state import NO_OFFSET

if TYPE_CHECKING:
    from savorychute.configuration.settings import ConfigurationSettings
    from savorychute.configuration.snapshot_record import SnapshotRecord

MAX_TRACKED_SNAPSHOTS = 8


class SnapshotMonitor:
    """Determines when a new snapshot is due.

    The age of the newest complete snapshot counts from the time at which the first
    instance read it.  Instances report the age to one another as a duration, so it
    survives a rolling replacement of all instances.

    :param settings: age and number of records at which a snapshot is due.
    """

    def __init__(self, settings: ConfigurationSettings) -> None:
        self._settings = settings
        self._first_read_ms = 0
        self._parts: dict[str, set[int]] = {}
        self._first_offsets: dict[str, int] = {}
        self._is_age_known = True
        self.offset = NO_OFFSET
        self.last_part_ms: int | None = None

    def start(self, now_ms: int) -> None:
        """Count the age of a snapshot from now while no instance has reported it."""
        self._first_read_ms = now_ms

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the newest snapshot was first read."""
        return max(0, now_ms - self._first_read_ms)

    def record_part(
        self, record: SnapshotRecord, offset: int, now_ms: int, fresh: bool
    ) -> None:
        """Record a part that was read.

        :param record: the part; its data is not used.
        :param offset: the offset of the part in the log.
        :param fresh: whether the part was presumably appended just now.
        """
        snapshot_id = record['snapshot_id']
        if fresh:
            self.last_part_ms = now_ms
        parts = self._parts.setdefault(snapshot_id, set())
        first_offset = self._first_offsets.setdefault(snapshot_id, offset)
        parts.add(record['part'])
        if len(parts) >= record['parts'] and first_offset > self.offset:
            self.offset = first_offset
            self._first_read_ms = now_ms
            self._is_age_known = fresh
        while len(self._parts) > MAX_TRACKED_SNAPSHOTS:
            oldest = next(iter(self._parts))
            del self._parts[oldest]
            del self._first_offsets[oldest]

    def record_reported(self, offset: int, age_ms: int, now_ms: int) -> None:
        """Record the snapshot that another instance reported.

        :param offset: the offset of the newest snapshot known to that instance.
        :param age_ms: the age of that snapshot.
        """
        if offset < max(self.offset, 0):
            return
        if offset > self.offset:
            self.offset = offset
            self._first_read_ms = now_ms - age_ms
        self._first_read_ms = min(self._first_read_ms, now_ms - age_ms)
        self._is_age_known = True

    def is_due(self, last_offset: int, first_retained_offset: int, now_ms: int) -> bool:
        """Return whether another snapshot is due.

        :param last_offset: the offset of the newest record.
        :param first_retained_offset: the oldest offset that the log still retains.
        """
        if last_offset == NO_OFFSET:
            return False
        if self.age_ms(now_ms) >= self._settings.snapshot_interval_ms:
            return True
        if last_offset - self.offset >= self._settings.snapshot_records:
            return True
        if self.is_urgent(first_retained_offset):
            return True
        # After a restart of all instances the age is unknown.  The position of the
        # snapshot among the retained records is used instead.
        retained = last_offset - first_retained_offset
        in_older_half = self.offset - first_retained_offset < retained / 2
        return not self._is_age_known and first_retained_offset > 0 and in_older_half

    def is_urgent(self, first_retained_offset: int) -> bool:
        """Return whether records expired that no snapshot in the log covers.

        This happens after a log outage longer than the retention; until the next
        snapshot, only the running instances hold the configuration.

        :param first_retained_offset: the oldest offset that the log still retains.
        """
        return first_retained_offset > max(self.offset, 0)
