"""The members known to one instance."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import xxhash

from savorychute.membership.member_change import MemberChange
from savorychute.membership.member_record import MemberRecord
from savorychute.membership.member_state import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorychute.membership.member_update import MemberUpdate
    from savorychute.membership.settings import MembershipSettings

# A signed 64-bit integer of Cap'n Proto holds 63 bits of a hash.
HASH_MASK = (1 << 63) - 1
KNOWN_STATES = frozenset(int(state) for state in MemberState)


class MemberTable:
    """All members but this instance, by name.

    Updates of a member are ordered by incarnation, counter and state, and the
    largest one is kept.  So old gossip about a dead member has no effect, while a
    member that returns from a pause is accepted after one refutation.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._records: dict[str, MemberRecord] = {}
        self._by_state: dict[int, dict[str, None]] = {s: {} for s in MemberState}
        self._by_region: dict[str, dict[str, None]] = {}
        self._hashes: dict[str, int] = {}
        self.hash_changed_ms: dict[str, int] = {}
        self.version = 0
        self.changes: deque[MemberChange] = deque(maxlen=settings.max_changes)

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def get(self, instance: str) -> MemberRecord | None:
        """Return the record of a member, or None.

        :param instance: the member's name.
        """
        return self._records.get(instance)

    def apply(self, update: MemberUpdate, why: str, now_ms: int) -> bool:
        """Apply an update; return whether it overrides the current one.

        :param update: the update.
        :param why: the reason, for the audit trail.
        """
        if update.state not in KNOWN_STATES:
            return False  # A later version may know more states than this one.
        instance = update.address.instance
        current = self._records.get(instance)
        if current is not None and update.precedence <= current.update.precedence:
            return False
        if current is None and update.state == MemberState.DEAD:
            return self._store_tombstone(update, now_ms)
        is_same_incarnation = (
            current is not None
            and current.update.address.incarnation == update.address.incarnation
        )
        record = MemberRecord(update, now_ms, update.state == MemberState.LEAVING)
        if current is not None and is_same_incarnation:
            record = record._replace(
                announced_leaving=record.announced_leaving or current.announced_leaving,
                listed_leaving=current.listed_leaving,
            )
        self._store(record, now_ms)
        self._record_change(current, update, why, now_ms)
        return True

    def set_listed_leaving(self, leaving: frozenset[str], now_ms: int) -> None:
        """Mark the members that the platform's list shows as leaving.

        The list lags, so it may describe an earlier incarnation; the mark therefore
        holds only as long as the list repeats it.

        :param leaving: the names that the list marks as leaving.
        """
        for instance, record in self._records.items():
            listed = instance in leaving
            if record.listed_leaving == listed or record.state == MemberState.DEAD:
                continue
            self._records[instance] = record._replace(listed_leaving=listed)
            self.version += 1
            self._record_listing_change(record, listed, now_ms)

    def extend_waits(self, gap_ms: int) -> None:
        """Shift the start of all suspicions after a pause of this instance.

        :param gap_ms: how long this instance was paused.
        """
        for instance, record in self._records.items():
            if record.state == MemberState.SUSPECT:
                shifted = record._replace(since_ms=record.since_ms + gap_ms)
                self._records[instance] = shifted

    def expire_dead(self, now_ms: int) -> None:
        """Remove members that died long ago, and the oldest beyond ``max_dead``.

        Old gossip can restore a removed member only as one that is probed and found
        dead again.
        """
        dead = sorted(self.in_state(MemberState.DEAD), key=lambda r: r.since_ms)
        surplus = max(0, len(dead) - self._settings.max_dead)
        cutoff_ms = now_ms - self._settings.forget_dead_ms
        for position, record in enumerate(dead):
            if position < surplus or record.since_ms <= cutoff_ms:
                self._remove(record)

    def in_state(self, state: MemberState) -> list[MemberRecord]:
        """Return the records of all members in that state.

        :param state: the state to look for.
        """
        return [self._records[name] for name in self._by_state[state]]

    def in_region(self, region: str) -> list[MemberRecord]:
        """Return the records of a region, dead ones included.

        :param region: the region's name.
        """
        return [self._records[name] for name in self._by_region.get(region, ())]

    def digest_hash(self, region: str) -> int:
        """Return the hash over a region's members that are not dead.

        Suspicions are short-lived, so a suspect counts as alive.

        :param region: the region's name.
        """
        return self._hashes.get(region, 0) & HASH_MASK

    def _store(self, record: MemberRecord, now_ms: int) -> None:
        address = record.update.address
        current = self._records.get(address.instance)
        if current is not None:
            self._toggle_hash(current.update, now_ms)
            self._remove(current)
        self._records[address.instance] = record
        self._by_state[record.update.state][address.instance] = None
        self._by_region.setdefault(address.region, {})[address.instance] = None
        self._toggle_hash(record.update, now_ms)
        self.version += 1

    def _remove(self, record: MemberRecord) -> None:
        address = record.update.address
        del self._records[address.instance]
        del self._by_state[record.update.state][address.instance]
        members = self._by_region[address.region]
        del members[address.instance]
        if not members:
            del self._by_region[address.region]

    def _toggle_hash(self, update: MemberUpdate, now_ms: int) -> None:
        """Add a member to its region's hash, or remove it."""
        address = update.address
        self.hash_changed_ms[address.region] = now_ms
        self._hashes[address.region] = self._hashes.get(address.region, 0) ^ (
            hash_update(update)
        )

    def _store_tombstone(self, update: MemberUpdate, now_ms: int) -> bool:
        """Store a dead member that was unknown, without passing it on."""
        self._store(MemberRecord(update, now_ms), now_ms)
        return False

    def _record_listing_change(
        self, record: MemberRecord, leaving: bool, now_ms: int
    ) -> None:
        state = record.state.name.lower()
        listed = MemberState.LEAVING.name.lower()
        address = record.update.address
        self.changes.append(
            MemberChange(
                address.instance,
                address.incarnation,
                state if leaving else listed,
                listed if leaving else state,
                'the list calls it leaving' if leaving else 'listed as live again',
                now_ms,
            )
        )

    def _record_change(
        self, previous: MemberRecord | None, update: MemberUpdate, why: str, now_ms: int
    ) -> None:
        from_state = previous.state.name.lower() if previous is not None else ''
        to_state = MemberState(update.state).name.lower()
        is_restart = (
            previous is not None
            and previous.update.address.incarnation != update.address.incarnation
        )
        if from_state == to_state and not is_restart:
            return
        self.changes.append(
            MemberChange(
                update.address.instance,
                update.address.incarnation,
                from_state,
                to_state,
                'restarted' if is_restart else why,
                now_ms,
            )
        )


def hash_update(update: MemberUpdate) -> int:
    """Return a member's contribution to its region's hash; 0 for a dead member.

    :param update: the member's update.
    """
    if update.state == MemberState.DEAD:
        return 0
    leaving = update.state == MemberState.LEAVING
    address = update.address
    text = f'{address.instance}/{address.incarnation}/{update.counter}/{leaving}'
    return int(xxhash.xxh3_64_intdigest(text.encode()))
