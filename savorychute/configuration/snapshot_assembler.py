"""Assembly of snapshots from their records."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.configuration.snapshot_record import SnapshotRecord

MAX_INCOMPLETE_SNAPSHOTS = 4
MAX_PARTS = 1_024


class AssembledSnapshot(NamedTuple):
    """A snapshot whose parts were all read."""

    snapshot_id: str
    through_offset: int
    first_part_offset: int
    data: bytes


class _IncompleteSnapshot(NamedTuple):
    through_offset: int
    parts: int
    first_part_offset: int
    slices: dict[int, bytes]


class SnapshotAssembler:
    """Collects the parts of a few snapshots at a time.

    Parts of different writers may be interleaved, and a writer may have stopped
    before the last part; the oldest incomplete snapshots are dropped for newer ones.
    """

    def __init__(self) -> None:
        self._incomplete: dict[str, _IncompleteSnapshot] = {}

    def add(self, record: SnapshotRecord, offset: int) -> AssembledSnapshot | None:
        """Add a part, and return the snapshot if it is now complete.

        :param record: the part.
        :param offset: the offset of the part in the log.
        """
        if not 0 <= record['part'] < record['parts'] <= MAX_PARTS:
            return None
        snapshot = self._find(record, offset)
        if snapshot.parts != record['parts']:
            return None
        snapshot.slices[record['part']] = record['data']
        if len(snapshot.slices) < snapshot.parts:
            return None
        del self._incomplete[record['snapshot_id']]
        data = b''.join(snapshot.slices[part] for part in range(snapshot.parts))
        return AssembledSnapshot(
            record['snapshot_id'],
            snapshot.through_offset,
            snapshot.first_part_offset,
            data,
        )

    def clear(self) -> None:
        """Discard all parts."""
        self._incomplete.clear()

    def _find(self, record: SnapshotRecord, offset: int) -> _IncompleteSnapshot:
        snapshot = self._incomplete.get(record['snapshot_id'])
        if snapshot is None:
            snapshot = _IncompleteSnapshot(
                record['through_offset'], record['parts'], offset, {}
            )
            self._incomplete[record['snapshot_id']] = snapshot
            if len(self._incomplete) > MAX_INCOMPLETE_SNAPSHOTS:
                del self._incomplete[next(iter(self._incomplete))]
        return snapshot
