"""Reconciliation of member tables within and between regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.membership.digest import Digest
from savorychute.membership.gossip import Gossip
from savorychute.membership.member_stamp import MemberStamp
from savorychute.membership.member_state import MemberState
from savorychute.membership.member_table import HASH_MASK, hash_update
from savorychute.membership.region_digest import RegionDigest
from savorychute.membership.region_summary import RegionSummary
from savorychute.membership.update_request import UpdateRequest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from savorychute.actions import Action
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_table import MemberTable
    from savorychute.membership.member_update import MemberUpdate
    from savorychute.membership.region_map import RegionMap
    from savorychute.membership.settings import MembershipSettings

# A region that changes constantly is compared for one in this many digests.
UNSETTLED_ONE_IN = 8
UPDATES_PER_BULK_GOSSIP = 32


class RegionSync:
    """Reconciles member tables that still differ after gossip.

    Each instance periodically sends a digest to one member of its region; the
    few representatives of a region also send one to a representative of another
    region.  The number of messages between regions therefore grows with the number
    of regions, not of instances.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        regions: RegionMap,
        address: MemberAddress,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._table = table
        self._regions = regions
        self._address = address
        self._rng = rng
        self._next_digest_ms: int | None = None
        self._beats: dict[str, int] = {address.region: 0}
        self._last_contact_ms: dict[str, int] = {}
        self._unreachable: frozenset[str] = frozenset()

    def unreachable_regions(self) -> frozenset[str]:
        """Return the regions from which nothing was received for a long time."""
        return self._unreachable

    def record_contact(self, region: str, now_ms: int) -> None:
        """Record that a message from a region was received.

        :param region: the sender's region.
        """
        self._last_contact_ms[region] = now_ms
        if region in self._unreachable:
            self._unreachable -= {region}

    def track_regions(self, now_ms: int) -> None:
        """Start the silence timeout of regions that are new.

        :param now_ms: the time.
        """
        for region in self._regions.members():
            self._last_contact_ms.setdefault(region, now_ms)

    def extend_waits(self, gap_ms: int) -> None:
        """Extend all waits after a pause of this instance.

        :param gap_ms: how long this instance was paused.
        """
        for region in self._last_contact_ms:
            self._last_contact_ms[region] += gap_ms

    def tick(
        self, own: MemberUpdate, configuration_offset: int, now_ms: int
    ) -> list[Action]:
        """Send the digests that are due and update the unreachable regions.

        :param own: this instance's state.
        :param configuration_offset: the offset that it advertises.
        """
        if self._next_digest_ms is not None and now_ms < self._next_digest_ms:
            return []
        period_ms = self._settings.digest_period_ms
        self._next_digest_ms = now_ms + self._rng.randint(
            period_ms // 2, period_ms * 3 // 2
        )
        self._find_unreachable(now_ms)
        return self.send_digests(own, configuration_offset, now_ms)

    def send_digests(
        self, own: MemberUpdate, configuration_offset: int, now_ms: int
    ) -> list[Action]:
        """Send a digest in the own region and, as representative, to another one.

        :param own: this instance's state.
        :param configuration_offset: the offset that it advertises.
        """
        self.track_regions(now_ms)
        region = self._address.region
        if self._regions.is_representative():
            self._beats[region] = self._beats.get(region, 0) + 1
        targets = self._regions.digest_targets()
        digest = Digest(own, configuration_offset, self._digest_regions(own))
        return [self._send(target, digest) for target in targets]

    def compare(self, digest: Digest, own: MemberUpdate, now_ms: int) -> list[Action]:
        """Respond to a digest with the summary of one region that differs.

        :param digest: the digest of another member's table.
        :param own: this instance's state.
        """
        self._apply_beats(digest, now_ms)
        differing = self._find_differing(digest, own)
        candidates = [r for r in differing if self._is_settled(r, now_ms)]
        if not candidates and differing and self._rng.randrange(UNSETTLED_ONE_IN) == 0:
            candidates = differing
        if not candidates:
            return []
        region = self._rng.choice(candidates)
        summary = RegionSummary(own, region, self._stamps_of(region, own))
        return [self._send(digest.origin.address, summary)]

    def reconcile(self, summary: RegionSummary, own: MemberUpdate) -> list[Action]:
        """Send updates that the other side lacks and request those missing here.

        :param summary: the other side's records of a region.
        :param own: this instance's state.
        """
        their_stamps = {stamp.instance: stamp for stamp in summary.stamps}
        missing = self._find_missing(their_stamps.values())
        newer = [
            update
            for update in self._updates_of(summary.region, own)
            if update.address.instance not in their_stamps
            or their_stamps[update.address.instance].precedence < update.precedence
        ]
        target = summary.origin.address
        actions: list[Action] = []
        if missing:
            actions.append(self._send(target, UpdateRequest(own, missing)))
        for start in range(0, len(newer), UPDATES_PER_BULK_GOSSIP):
            updates = tuple(newer[start : start + UPDATES_PER_BULK_GOSSIP])
            actions.append(self._send(target, Gossip(updates, True)))
        return actions

    def handle_update_request(
        self, request: UpdateRequest, own: MemberUpdate
    ) -> list[Action]:
        """Send the requested updates.

        :param request: the names of the members.
        :param own: this instance's state.
        """
        updates = []
        for instance in request.instances:
            record = self._table.get(instance)
            if record is not None:
                updates.append(record.update)
            elif instance == own.address.instance:
                updates.append(own)
        target = request.origin.address
        return [
            self._send(
                target,
                Gossip(tuple(updates[start : start + UPDATES_PER_BULK_GOSSIP]), True),
            )
            for start in range(0, len(updates), UPDATES_PER_BULK_GOSSIP)
        ]

    def _send(self, target: MemberAddress, message: tuple[object, ...]) -> SendPeer:
        return SendPeer(target.instance, target.host, target.peer_port, message)

    def _digest_regions(self, own: MemberUpdate) -> tuple[RegionDigest, ...]:
        members = self._regions.members()
        digests = []
        for region in sorted({*members, self._address.region}):
            digest_hash = self._table.digest_hash(region)
            count = len(members.get(region, ()))
            if region == self._address.region:
                digest_hash ^= hash_update(own) & HASH_MASK
                count += 1
            beat = self._beats.get(region, 0)
            digests.append(RegionDigest(region, count, digest_hash, beat))
        return tuple(digests)

    def _find_differing(self, digest: Digest, own: MemberUpdate) -> list[str]:
        their_hashes = {entry.region: entry.hash for entry in digest.regions}
        own_hashes = {entry.region: entry.hash for entry in self._digest_regions(own)}
        regions = sorted({*their_hashes, *own_hashes})
        return [r for r in regions if their_hashes.get(r, 0) != own_hashes.get(r, 0)]

    def _apply_beats(self, digest: Digest, now_ms: int) -> None:
        for entry in digest.regions:
            if entry.beat > self._beats.get(entry.region, 0):
                self._beats[entry.region] = entry.beat
                self.record_contact(entry.region, now_ms)

    def _is_settled(self, region: str, now_ms: int) -> bool:
        changed_ms = self._table.hash_changed_ms.get(region)
        if changed_ms is None:
            return True
        return now_ms - changed_ms >= self._settings.settle_ms

    def _updates_of(self, region: str, own: MemberUpdate) -> list[MemberUpdate]:
        updates = [record.update for record in self._table.in_region(region)]
        if region == self._address.region:
            updates.append(own)
        return updates

    def _stamps_of(self, region: str, own: MemberUpdate) -> tuple[MemberStamp, ...]:
        return tuple(
            MemberStamp(
                update.address.instance,
                update.address.incarnation,
                update.counter,
                update.state,
            )
            for update in self._updates_of(region, own)
        )

    def _find_missing(self, stamps: Iterable[MemberStamp]) -> tuple[str, ...]:
        missing = []
        for stamp in stamps:
            if stamp.instance == self._address.instance:
                continue
            record = self._table.get(stamp.instance)
            if (record is None and stamp.state != MemberState.DEAD) or (
                record is not None and record.update.precedence < stamp.precedence
            ):
                missing.append(stamp.instance)
        return tuple(missing)

    def _find_unreachable(self, now_ms: int) -> None:
        cutoff_ms = now_ms - self._settings.region_silence_ms
        self._unreachable = frozenset(
            region
            for region, contact_ms in self._last_contact_ms.items()
            if contact_ms <= cutoff_ms and region != self._address.region
        )
