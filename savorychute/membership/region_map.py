"""Members by region, and the representatives of each region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.membership.member_state import MemberState
from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from random import Random

    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_table import MemberTable
    from savorychute.membership.settings import MembershipSettings

# One in this many messages to another region goes to any of its members, because all
# its representatives may have been replaced during a network partition.
ANY_MEMBER_ONE_IN = 4


class RegionMap:
    """The members that are not dead, by region, without this instance.

    The representatives of a region are those with the highest rendezvous scores
    for its name, in different failure domains.

    :param settings: fan-outs.
    :param table: all members.
    :param address: this instance.
    :param rng: chooses targets.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        address: MemberAddress,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._table = table
        self._address = address
        self._rng = rng
        self._version = -1
        self._members: dict[str, list[MemberAddress]] = {}
        self._representatives: dict[str, tuple[MemberAddress, ...]] = {}

    def members(self) -> dict[str, list[MemberAddress]]:
        """Return the members by region."""
        if self._version != self._table.version:
            self._version = self._table.version
            self._collect()
            self._choose_representatives()
        return self._members

    def is_representative(self) -> bool:
        """Return whether this instance is a representative of its region."""
        self.members()
        return self._address in self._representatives[self._address.region]

    def digest_targets(self) -> list[MemberAddress]:
        """Return the members to compare tables with now."""
        local_members = self.members().get(self._address.region)
        targets = [self._rng.choice(local_members)] if local_members else []
        if self.is_representative():
            targets.extend(self._remote_targets())
        return targets

    def gossip_targets(self) -> list[MemberAddress]:
        """Return the members to send new updates to."""
        local_members = self.members().get(self._address.region, [])
        count = min(self._settings.gossip_fanout, len(local_members))
        targets = self._rng.sample(local_members, count)
        if self.is_representative():
            targets.extend(self._remote_targets())
        return targets

    def announcement_targets(self) -> list[MemberAddress]:
        """Return the members to notify when this instance joins or leaves."""
        members = self.members()
        local_members = members.get(self._address.region, [])
        count = min(2 * self._settings.gossip_fanout, len(local_members))
        targets = self._rng.sample(local_members, count)
        for region in members:
            if region != self._address.region:
                targets.append(self._rng.choice(self._representatives[region]))
        return targets

    def _collect(self) -> None:
        self._members = {}
        for record in self._table:
            if record.state != MemberState.DEAD:
                address = record.update.address
                self._members.setdefault(address.region, []).append(address)

    def _choose_representatives(self) -> None:
        by_region = {region: list(members) for region, members in self._members.items()}
        by_region.setdefault(self._address.region, []).append(self._address)
        self._representatives = {
            region: choose_homes(region, members, self._settings.representatives)
            for region, members in by_region.items()
        }

    def _remote_targets(self) -> list[MemberAddress]:
        regions = [r for r in self._members if r != self._address.region]
        if not regions:
            return []
        region = self._rng.choice(regions)
        if self._rng.randrange(ANY_MEMBER_ONE_IN) == 0:
            return [self._rng.choice(self._members[region])]
        return [self._rng.choice(self._representatives[region])]
