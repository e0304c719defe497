"""The fold over the lease stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.leases.lease_record import CLAIM_KIND, decode_lease_record
from savorychute.leases.lease_term import LeaseTerm

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.inputs.log_record import LogRecord
    from savorychute.leases.lease_record import LeaseRecord

MAX_LEASES = 4_096


class LeaseTable:
    """Which claims stand.

    A claim stands if no claim of the same name was accepted after the last
    record that its writer had read: a compare-and-set on the log.  The rule
    needs no clock, so all instances decide alike.
    """

    def __init__(self) -> None:
        self._terms: dict[str, LeaseTerm] = {}
        self.offset = -1
        self.rejected = 0

    @property
    def terms(self) -> Mapping[str, LeaseTerm]:
        """The accepted claims by name of the lease."""
        return self._terms

    def skip_to(self, first_offset: int) -> None:
        """Go on behind records that the log no longer has.

        Safe because records are kept for far longer than a lease lasts: what
        was lost had lapsed.

        :param first_offset: the oldest offset that is kept.
        """
        self.offset = max(self.offset, first_offset - 1)

    def apply(self, record: LogRecord, now_ms: int) -> LeaseTerm | None:
        """Fold the next record, and return the term that it changed.

        :param record: the record that follows the last one.
        """
        self.offset = record.offset
        decoded = decode_lease_record(record.payload)
        if decoded is None:
            return None
        term = self._terms.get(decoded['name'])
        if decoded['kind'] != CLAIM_KIND:
            return self._release(term, decoded, now_ms)
        if term is not None and term.offset > decoded['seen_offset']:
            self.rejected += 1
            return None
        return self._accept(term, decoded, record.offset, now_ms)

    def _accept(
        self, before: LeaseTerm | None, claim: LeaseRecord, offset: int, now_ms: int
    ) -> LeaseTerm:
        term = LeaseTerm(
            name=claim['name'],
            holder=claim['holder'],
            fencing=_fencing_of(before, claim, offset),
            offset=offset,
            claim_id=claim['claim_id'],
            duration_ms=claim['duration_ms'],
            read_ms=now_ms,
        )
        self._terms.pop(term.name, None)
        self._terms[term.name] = term
        if len(self._terms) > MAX_LEASES:
            del self._terms[next(iter(self._terms))]
        return term

    def _release(
        self, term: LeaseTerm | None, release: LeaseRecord, now_ms: int
    ) -> LeaseTerm | None:
        if term is None or term.holder != release['holder']:
            return None
        if term.offset > release['seen_offset']:
            return None
        released = term._replace(released=True, read_ms=now_ms)
        self._terms[term.name] = released
        return released


def _fencing_of(before: LeaseTerm | None, claim: LeaseRecord, offset: int) -> int:
    """Return the fencing number that goes with an accepted claim.

    A renewal keeps the number of the first claim.  An instance that started
    later and never read that one takes the renewal's word for it.
    """
    is_first = not 0 <= claim['fencing'] < offset
    if is_first:
        return offset
    if before is None:
        return claim['fencing']
    continues = before.holder == claim['holder'] and not before.released
    return before.fencing if continues else offset
