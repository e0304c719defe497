"""Leases held by claims in the platform's log.

Based on Gray and Cheriton, "Leases" (1989), with the log in place of the
server that grants them.  Each lease has a fencing number; an endpoint that
checks it refuses earlier holders of the lease.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.append_record import AppendRecord
from savorychute.actions.read_records import ReadRecords
from savorychute.configuration.log_budget import LogBudget, LogBudgetSettings
from savorychute.leases.lease_change import (
    ACQUIRED,
    LAPSED,
    RELEASED,
    SURRENDERED,
    LeaseChange,
)
from savorychute.leases.lease_record import (
    CLAIM_KIND,
    LEASE_STREAM,
    RELEASE_KIND,
    LeaseRecord,
    encode_lease_record,
)
from savorychute.leases.lease_table import LeaseTable
from savorychute.leases.sent_claim import SentClaim

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from savorychute.actions import Action
    from savorychute.inputs.append_finished import AppendFinished
    from savorychute.inputs.records_read import RecordsRead
    from savorychute.leases.lease_settings import LeaseSettings
    from savorychute.leases.lease_term import LeaseTerm

LEASE_APPEND_PREFIX = 'lease:'
HOLDER_BITS = 48
CLAIM_TIMEOUT_POLLS = 3


class LeaseManager:
    """Claims, renews and releases leases for one incarnation of an instance.

    Safety depends on durations only, never on synchronised clocks.  The holder
    counts from before it sent the claim and stops ``stop_margin_ms`` early; a
    successor counts the whole duration from when it read the claim, which is
    later, and adds the time that an order may be in flight.

    :param settings: the durations.
    :param instance: this instance's name.
    :param rng: makes the holder's name unique and randomises claim times.
    :param budget: the append budget of this instance; None creates a separate one.
    """

    def __init__(
        self,
        settings: LeaseSettings,
        instance: str,
        rng: random.Random,
        budget: LogBudget | None = None,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._budget = budget or LogBudget(LogBudgetSettings())
        # A restarted instance counts as another holder: it must wait until the lease of
        # its earlier incarnation ends, because its orders may still be in flight.
        self.holder = f'{instance}.{rng.getrandbits(HOLDER_BITS):012x}'
        self._table = LeaseTable()
        self._wanted: dict[str, None] = {}
        self._sent_claims: dict[str, SentClaim] = {}
        self._claim_at_ms: dict[str, int] = {}
        self._hold_until_ms: dict[str, int] = {}
        self._fencing: dict[str, int] = {}
        self._changes: list[LeaseChange] = []
        self._read_sent_ms: int | None = None
        self._next_read_ms = 0
        self._is_caught_up = False
        self._claim_count = 0

    def want(self, name: str) -> None:
        """Start trying to acquire the lease and to renew it.

        :param name: the lease.
        """
        self._wanted[name] = None

    def release(self, name: str, now_ms: int) -> list[Action]:
        """Stop claiming the lease, and release it if it is held.

        Must only be called when no order under the lease is in flight.

        :param name: the lease.
        """
        self._wanted.pop(name, None)
        fencing = self.holds(name, now_ms)
        if fencing is None:
            return []
        self._end_lease(name, RELEASED, 'no longer wanted')
        record = self._build_record(RELEASE_KIND, name, fencing)
        self._budget.acquire('lease', now_ms)
        return [self._append(record)]

    def surrender(self, name: str, fencing: int, why: str) -> None:
        """Stop holding the lease at once, because another holder was observed.

        If this instance's own later lease fences an order of its earlier one, the
        later lease is still valid and is kept.

        :param name: the lease.
        :param fencing: the fencing number that proved to be outdated.
        :param why: the observation.
        """
        if name in self._hold_until_ms and self._fencing[name] == fencing:
            self._end_lease(name, SURRENDERED, why)

    def holds(self, name: str, now_ms: int) -> int | None:
        """Return the fencing number if the lease is held now, or None.

        Must be called right before each order is sent, so that a holder that was
        paused detects that its lease has expired.

        :param name: the lease.
        """
        if now_ms >= self._hold_until_ms.get(name, now_ms):
            return None
        return self._fencing[name]

    def holds_any(self, now_ms: int) -> bool:
        """Return whether any lease is held now."""
        return any(now_ms < until_ms for until_ms in self._hold_until_ms.values())

    def held_until_ms(self, name: str) -> int:
        """Return when a lease that is held ends, 0 if it is not held."""
        return self._hold_until_ms.get(name, 0)

    def terms(self) -> Mapping[str, LeaseTerm]:
        """Return the accepted claims that this instance has read."""
        return self._table.terms

    def take_changes(self) -> list[LeaseChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def tick(self, now_ms: int) -> list[Action]:
        """Return reads and claims that are due."""
        self._expire_leases(now_ms)
        actions: list[Action] = []
        for name in self._wanted:
            if self._should_claim(name, now_ms):
                actions += self._claim(name, now_ms)
        return actions + self._read(now_ms)

    def records_read(self, read: RecordsRead, now_ms: int) -> list[Action]:
        """Handle a response of the log.

        :param read: the response; responses for other streams are ignored.
        """
        if read.stream != LEASE_STREAM:
            return []
        self._read_sent_ms = None
        if not read.ok:
            return []
        if self._table.offset + 1 < read.first_offset:
            self._table.skip_to(read.first_offset)
        for record in read.records:
            if record.offset != self._table.offset + 1:
                continue
            term = self._table.apply(record, now_ms)
            if term is not None:
                self._apply_term(term, now_ms)
        self._is_caught_up = self._table.offset + 1 >= read.end_offset
        if not self._is_caught_up and read.records:
            self._next_read_ms = now_ms
        return self._read(now_ms)

    def append_finished(self, finished: AppendFinished, now_ms: int) -> list[Action]:
        """Handle the outcome of an append.

        A lease is held only after its claim was read back, because only the order
        of records in the log decides whether the claim is accepted.

        :param finished: the outcome; outcomes of other components are ignored.
        """
        if not finished.append_id.startswith(LEASE_APPEND_PREFIX):
            return []
        if finished.outcome == 'refused':
            claim_id = finished.append_id.removeprefix(LEASE_APPEND_PREFIX)
            self._sent_claims.pop(claim_id, None)
            return []
        self._next_read_ms = now_ms
        return self._read(now_ms)

    def _apply_term(self, term: LeaseTerm, now_ms: int) -> None:
        name = term.name
        claim = self._sent_claims.pop(term.claim_id, None)
        self._claim_at_ms.pop(name, None)
        if claim is None or term.released:
            if term.holder != self.holder and name in self._hold_until_ms:
                self._end_lease(name, LAPSED, f'{term.holder} has it')
            return
        settings = self._settings
        usable_ms = round(claim.duration_ms * (1 - settings.clock_drift_share))
        until_ms = claim.sent_ms + usable_ms - settings.stop_margin_ms
        if now_ms >= until_ms:
            return
        is_new = self._fencing.get(name) != term.fencing
        self._fencing[name] = term.fencing
        self._hold_until_ms[name] = until_ms
        if is_new:
            self._changes.append(
                LeaseChange(name, ACQUIRED, term.fencing, 'claim read back')
            )

    def _should_claim(self, name: str, now_ms: int) -> bool:
        if self._is_claiming(name, now_ms):
            return False
        if self.holds(name, now_ms) is not None:
            left_ms = self._hold_until_ms[name] - now_ms
            return left_ms <= self._settings.renew_before_ms
        if not self._is_caught_up or not self._is_free(name, now_ms):
            self._claim_at_ms.pop(name, None)
            return False
        backoff_ms = self._settings.claim_backoff_ms
        planned_ms = self._claim_at_ms.setdefault(
            name, now_ms + self._rng.randrange(backoff_ms + 1)
        )
        return now_ms >= planned_ms

    def _is_claiming(self, name: str, now_ms: int) -> bool:
        """Return whether a claim may still be read back.

        An unanswered claim times out after a few polls; if it is read back later,
        its duration still counts from when it was sent.
        """
        timeout_ms = CLAIM_TIMEOUT_POLLS * self._settings.poll_interval_ms
        return any(
            claim.name == name and now_ms - claim.sent_ms < timeout_ms
            for claim in self._sent_claims.values()
        )

    def _is_free(self, name: str, now_ms: int) -> bool:
        term = self._table.terms.get(name)
        if term is None or term.holder == self.holder:
            return True
        settings = self._settings
        lease_ms = 0 if term.released else term.duration_ms
        wait_ms = (lease_ms + settings.order_flight_ms) * (
            1 + settings.clock_drift_share
        )
        return now_ms - term.read_ms >= wait_ms

    def _claim(self, name: str, now_ms: int) -> list[Action]:
        fencing = self._fencing.get(name, -1) if name in self._hold_until_ms else -1
        record = self._build_record(CLAIM_KIND, name, fencing)
        duration_ms = record['duration_ms']
        claim = SentClaim(record['claim_id'], name, now_ms, duration_ms)
        self._drop_expired_claims(now_ms)
        self._sent_claims[claim.claim_id] = claim
        self._claim_at_ms.pop(name, None)
        self._budget.acquire('lease', now_ms)
        return [self._append(record)]

    def _drop_expired_claims(self, now_ms: int) -> None:
        self._sent_claims = {
            claim_id: claim
            for claim_id, claim in self._sent_claims.items()
            if now_ms - claim.sent_ms < claim.duration_ms
        }

    def _build_record(self, kind: str, name: str, fencing: int) -> LeaseRecord:
        self._claim_count += 1
        return LeaseRecord(
            kind=kind,
            claim_id=f'{self.holder}.{self._claim_count}',
            name=name,
            holder=self.holder,
            duration_ms=self._settings.duration_ms,
            seen_offset=self._table.offset,
            fencing=fencing,
        )

    def _append(self, record: LeaseRecord) -> AppendRecord:
        append_id = f'{LEASE_APPEND_PREFIX}{record["claim_id"]}'
        return AppendRecord(append_id, LEASE_STREAM, encode_lease_record(record))

    def _expire_leases(self, now_ms: int) -> None:
        for name, until_ms in list(self._hold_until_ms.items()):
            if now_ms >= until_ms:
                self._end_lease(name, LAPSED, 'not renewed in time')

    def _end_lease(self, name: str, change: str, why: str) -> None:
        del self._hold_until_ms[name]
        fencing = self._fencing.pop(name)
        self._changes.append(LeaseChange(name, change, fencing, why))

    def _read(self, now_ms: int) -> list[Action]:
        if not self._wanted and not self._sent_claims:
            return []
        if self._read_sent_ms is not None:
            if now_ms - self._read_sent_ms < self._settings.read_timeout_ms:
                return []
            self._read_sent_ms = None
        if now_ms < self._next_read_ms:
            return []
        self._read_sent_ms = now_ms
        self._next_read_ms = now_ms + self._settings.poll_interval_ms
        count = self._settings.max_read_records
        return [ReadRecords(LEASE_STREAM, self._table.offset + 1, count)]
