"""Put snapshots together from their records."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.configuration.snapshot_record import SnapshotRecord

MAX_OPEN_SNAPSHOTS = 4
MAX_PARTS = 1_024


class AssembledSnapshot(NamedTuple):
    """A snapshot of which all parts were read."""

    snapshot_id: str
    through_offset: int
    first_part_offset: int
    data: bytes


class _OpenSnapshot(NamedTuple):
    through_offset: int
    parts: int
    first_part_offset: int
    slices: dict[int, bytes]


class SnapshotAssembler:
    """Collects the parts of a few snapshots at a time.

    Parts of different writers may be mixed, and a writer may have stopped in
    the middle; the oldest open snapshots make room for newer ones.
    """

    def __init__(self) -> None:
        self._open: dict[str, _OpenSnapshot] = {}

    def add(self, record: SnapshotRecord, offset: int) -> AssembledSnapshot | None:
        """Take in a part, and return the snapshot if it was the last missing.

        :param record: the part.
        :param offset: where it stands in the log.
        """
        if not 0 <= record['part'] < record['parts'] <= MAX_PARTS:
            return None
        snapshot = self._find(record, offset)
        if snapshot.parts != record['parts']:
            return None
        snapshot.slices[record['part']] = record['data']
        if len(snapshot.slices) < snapshot.parts:
            return None
        del self._open[record['snapshot_id']]
        data = b''.join(snapshot.slices[part] for part in range(snapshot.parts))
        return AssembledSnapshot(
            record['snapshot_id'],
            snapshot.through_offset,
            snapshot.first_part_offset,
            data,
        )

    def clear(self) -> None:
        """Forget all parts."""
        self._open.clear()

    def _find(self, record: SnapshotRecord, offset: int) -> _OpenSnapshot:
        snapshot = self._open.get(record['snapshot_id'])
        if snapshot is None:
            snapshot = _OpenSnapshot(
                record['through_offset'], record['parts'], offset, {}
            )
            self._open[record['snapshot_id']] = snapshot
            if len(self._open) > MAX_OPEN_SNAPSHOTS:
                del self._open[next(iter(self._open))]
        return snapshot
