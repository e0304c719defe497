"""The state of leases, derived from the lease stream."""

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
    """The accepted claims.

    A claim is accepted if no claim of the same name was accepted after the last
    record that its writer had read: a compare-and-set on the log.  The rule needs
    no clock, so all instances reach the same decision.
    """

    def __init__(self) -> None:
        self._terms: dict[str, LeaseTerm] = {}
        self.offset = -1
        self.rejected = 0

    @property
    def terms(self) -> Mapping[str, LeaseTerm]:
        """The accepted claims by lease name."""
        return self._terms

    def skip_to(self, first_offset: int) -> None:
        """Skip records that the log no longer retains.

        This is safe because records are retained for far longer than a lease lasts,
        so the leases in skipped records have lapsed.

        :param first_offset: the oldest retained offset.
        """
        self.offset = max(self.offset, first_offset - 1)

    def apply(self, record: LogRecord, now_ms: int) -> LeaseTerm | None:
        """Apply the next record, and return the term that it changed.

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
        self, previous: LeaseTerm | None, claim: LeaseRecord, offset: int, now_ms: int
    ) -> LeaseTerm:
        term = LeaseTerm(
            name=claim['name'],
            holder=claim['holder'],
            fencing=_fencing_of(previous, claim, offset),
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


def _fencing_of(previous: LeaseTerm | None, claim: LeaseRecord, offset: int) -> int:
    """Return the fencing number of an accepted claim.

    A renewal keeps the number of the first claim.  An instance that has not read
    the first claim uses the number stated in the renewal.
    """
    is_first = not 0 <= claim['fencing'] < offset
    if is_first:
        return offset
    if previous is None:
        return claim['fencing']
    is_renewal = previous.holder == claim['holder'] and not previous.released
    return previous.fencing if is_renewal else offset
