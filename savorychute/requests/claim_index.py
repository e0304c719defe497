"""Index of the first claim of each key in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.requests.claim_entry import ClaimEntry
from savorychute.requests.request_key import TIME_SHIFT_BITS

if TYPE_CHECKING:
    from savorychute.requests.claim_batch import ClaimBatch
    from savorychute.requests.key_settings import KeySettings


class ClaimIndex:
    """Stores which owner claimed each key first.

    A key is decidable only if all records that can hold a claim of it were
    read.  Let D be ``clock_margin_ms``, the maximum difference between any two
    wall clocks.  An instance claims a key only if the key's timestamp is at
    most D ahead of its own clock, so the key of a claim that was in the log
    when some clock showed F has a timestamp of at most F + 2 D.  Keys with a
    later timestamp are covered.

    :param settings: limits.
    """

    def __init__(self, settings: KeySettings) -> None:
        self._settings = settings
        self._entries: dict[int, ClaimEntry] = {}
        self._start_offset = 0
        self._covered_ms: int | None = None
        self._removed_before_ms = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def earliest_decidable_ms(self) -> int | None:
        """The earliest timestamp of a decidable key, or None before the first read."""
        if self._covered_ms is None:
            return None
        return max(self._covered_ms, self._removed_before_ms)

    def start(self, offset: int, wall_ms: int) -> None:
        """Start reading at *offset*, or restart there after a gap.

        :param offset: every record from this offset on will be applied.
        :param wall_ms: a time at which all records before *offset* were in the log.
        """
        self._start_offset = offset
        is_complete = offset == 0
        margin_ms = 2 * self._settings.clock_margin_ms
        self._covered_ms = 0 if is_complete else wall_ms + margin_ms

    def apply(self, batch: ClaimBatch) -> None:
        """Apply the next record of the log.

        :param batch: the record.
        """
        for claim in batch.claims:
            sequence = _sequence_of(claim.key)
            if sequence is not None and sequence not in self._entries:
                entry = ClaimEntry(batch.owner, claim.fingerprint)
                self._entries[sequence] = entry
        for key in batch.released:
            self._release(key, batch)
        self._extend_coverage(batch)

    def find(self, sequence: int) -> ClaimEntry | None:
        """Return the first claim of a key, or None if none was read.

        :param sequence: the sequence number of the key.
        """
        return self._entries.get(sequence)

    def remove_expired(self, wall_ms: int) -> None:
        """Remove expired and surplus entries; record which timestamps are removed.

        :param wall_ms: the current wall-clock time.
        """
        oldest_ms = wall_ms - self._settings.claim_lifetime_ms
        self._removed_before_ms = max(self._removed_before_ms, oldest_ms)
        for sequence in list(self._entries):
            is_over_limit = len(self._entries) > self._settings.max_claims
            if is_over_limit:
                # A key whose entry is removed early must not be claimed again.
                removed_before_ms = _time_of(sequence) + 1
                self._removed_before_ms = max(
                    self._removed_before_ms, removed_before_ms
                )
            elif _time_of(sequence) >= self._removed_before_ms:
                break
            del self._entries[sequence]

    def _release(self, key: str, batch: ClaimBatch) -> None:
        sequence = _sequence_of(key)
        entry = self._entries.get(sequence) if sequence is not None else None
        if sequence is not None and entry is not None and entry.owner == batch.owner:
            self._entries[sequence] = entry._replace(released=True)

    def _extend_coverage(self, batch: ClaimBatch) -> None:
        """Extend the coverage if the batch dates the records before the start."""
        if self._covered_ms is None or batch.seen_offset < self._start_offset:
            return
        covered_ms = batch.wall_ms + 2 * self._settings.clock_margin_ms
        self._covered_ms = min(self._covered_ms, covered_ms)


def _time_of(sequence: int) -> int:
    return sequence >> TIME_SHIFT_BITS


def _sequence_of(key: str) -> int | None:
    try:
        return int(key, 16)
    except ValueError:
        return None
