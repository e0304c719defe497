"""Members of each region, including those recently lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.membership import MemberView


class RegionMembers:
    """Remembers members, to distinguish a majority from a minority that is cut off.

    :param remember_ms: how long a lost member is remembered.
    """

    def __init__(self, remember_ms: int) -> None:
        self.remember_ms = remember_ms
        self._alive: dict[str, str] = {}
        self._lost: dict[str, tuple[str, int]] = {}
        self._seen_alive: object = None

    def set_view(self, view: MemberView, now_ms: int) -> None:
        """Set the current members.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        if view.alive is self._seen_alive:
            return
        self._seen_alive = view.alive
        alive = {member.instance: member.region for member in view.alive}
        for instance in sorted(self._alive.keys() - alive.keys()):
            if instance not in view.leaving and instance != view.own.instance:
                self._lost[instance] = (self._alive[instance], now_ms)
        for instance in alive:
            self._lost.pop(instance, None)
        self._alive = alive

    def list_alive(self, region: str) -> list[str]:
        """Return the members of a region, or all members if it has none.

        :param region: name of the region.
        """
        local = [
            name
            for name, member_region in self._alive.items()
            if member_region == region
        ]
        return local or list(self._alive)

    def list_lost(self, region: str, since_ms: int) -> list[str]:
        """Return the members of a region that were lost since a time.

        :param region: name of the region.
        :param since_ms: that time.
        """
        return [
            name
            for name, (member_region, lost_ms) in self._lost.items()
            if member_region == region and lost_ms >= since_ms
        ]

    def alive_share(self, region: str, now_ms: int) -> float:
        """Return 1 if a majority is alive, else the share of members that are alive.

        Instances that a network partition separates would each claim the whole
        capacity.  With this scale the minorities together claim at most once the
        capacity, in addition to the majority.  Of two equal halves, the one that
        contains the first name counts as the majority (dynamic linear voting, Jajodia
        and Mutchler 1987).

        :param region: name of the region.
        :param now_ms: the current time.
        """
        alive = self.list_alive(region)
        lost = self.list_lost(region, now_ms - self.remember_ms)
        total = len(alive) + len(lost)
        if 2 * len(alive) > total or not lost:
            return 1.0
        if 2 * len(alive) == total and min(alive) < min(lost):
            return 1.0
        return len(alive) / total
