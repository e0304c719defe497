"""The first claim of each key, folded from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.requests.claim_entry import ClaimEntry
from savorychute.requests.request_key import TIME_SHIFT_BITS

if TYPE_CHECKING:
    from savorychute.requests.claim_batch import ClaimBatch
    from savorychute.requests.key_settings import KeySettings


class ClaimIndex:
    """Who claimed which key first, as far back as it matters.

    A key is decidable only if no claim of it can lie before what was read.
    Let D be ``clock_margin_ms``, the most by which any two wall clocks differ.
    Whoever claims a key checks that its time is at most D ahead, so a claim
    that was in the log when some clock showed F is of a key of at most
    F + 2 D.  Keys of a later time than that are covered.

    :param settings: bounds.
    """

    def __init__(self, settings: KeySettings) -> None:
        self._settings = settings
        self._entries: dict[int, ClaimEntry] = {}
        self._start_offset = 0
        self._covered_ms: int | None = None
        self._forgotten_ms = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def floor_ms(self) -> int | None:
        """The least time of a key that can be decided, or None before reading."""
        if self._covered_ms is None:
            return None
        return max(self._covered_ms, self._forgotten_ms)

    def start(self, offset: int, wall_ms: int) -> None:
        """Begin, or begin again after a gap, to read at *offset*.

        :param offset: every record from here on will be folded.
        :param wall_ms: the time; all records before *offset* are in the log.
        """
        self._start_offset = offset
        is_whole = offset == 0
        margin_ms = 2 * self._settings.clock_margin_ms
        self._covered_ms = 0 if is_whole else wall_ms + margin_ms

    def fold(self, batch: ClaimBatch) -> None:
        """Take the next record of the log.

        :param batch: the record.
        """
        for claim in batch.claims:
            sequence = _sequence_of(claim.key)
            if sequence is not None and sequence not in self._entries:
                entry = ClaimEntry(batch.owner, claim.fingerprint)
                self._entries[sequence] = entry
        for key in batch.released:
            self._release(key, batch)
        self._extend_cover(batch)

    def find(self, sequence: int) -> ClaimEntry | None:
        """Return the first claim of a key, or None if none was read.

        :param sequence: the key's number.
        """
        return self._entries.get(sequence)

    def forget_old(self, wall_ms: int) -> None:
        """Drop entries that are too old or too many, and remember how old.

        :param wall_ms: the time.
        """
        oldest_ms = wall_ms - self._settings.claim_lifetime_ms
        self._forgotten_ms = max(self._forgotten_ms, oldest_ms)
        for sequence in list(self._entries):
            is_crowded = len(self._entries) > self._settings.max_claims
            if is_crowded:
                # Who is dropped early must not be claimed anew.
                too_old_ms = _time_of(sequence) + 1
                self._forgotten_ms = max(self._forgotten_ms, too_old_ms)
            elif _time_of(sequence) >= self._forgotten_ms:
                break
            del self._entries[sequence]

    def _release(self, key: str, batch: ClaimBatch) -> None:
        sequence = _sequence_of(key)
        entry = self._entries.get(sequence) if sequence is not None else None
        if sequence is not None and entry is not None and entry.owner == batch.owner:
            self._entries[sequence] = entry._replace(released=True)

    def _extend_cover(self, batch: ClaimBatch) -> None:
        """Reach further back if the batch dates what lies before the start."""
        if self._covered_ms is None or batch.seen_offset < self._start_offset:
            return
        dated_ms = batch.wall_ms + 2 * self._settings.clock_margin_ms
        self._covered_ms = min(self._covered_ms, dated_ms)


def _time_of(sequence: int) -> int:
    return sequence >> TIME_SHIFT_BITS


def _sequence_of(key: str) -> int | None:
    try:
        return int(key, 16)
    except ValueError:
        return None
