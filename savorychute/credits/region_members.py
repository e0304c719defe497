"""Members of each region, and those lately lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.membership import MemberView


class RegionMembers:
    """Remembers who was alive, to tell a majority from a cut-off rest.

    :param remember_ms: how long a lost member is remembered.
    """

    def __init__(self, remember_ms: int) -> None:
        self.remember_ms = remember_ms
        self._alive: dict[str, str] = {}
        self._lost: dict[str, tuple[str, int]] = {}
        self._seen: object = None

    def set_view(self, view: MemberView, now_ms: int) -> None:
        """Follow the view.

        :param view: who is alive.
        :param now_ms: the time.
        """
        if view.alive is self._seen:
            return
        self._seen = view.alive
        alive = {member.instance: member.region for member in view.alive}
        for instance in sorted(self._alive.keys() - alive.keys()):
            if instance not in view.leaving and instance != view.own.instance:
                self._lost[instance] = (self._alive[instance], now_ms)
        for instance in alive:
            self._lost.pop(instance, None)
        self._alive = alive

    def list_alive(self, region: str) -> list[str]:
        """Return the members of a region, or all if it has none.

        :param region: its name.
        """
        local = [name for name, place in self._alive.items() if place == region]
        return local or list(self._alive)

    def list_lost(self, region: str, since_ms: int) -> list[str]:
        """Return members of a region that were lost lately.

        :param region: its name.
        :param since_ms: how long ago is too long.
        """
        return [
            name
            for name, (place, lost_ms) in self._lost.items()
            if place == region and lost_ms >= since_ms
        ]

    def share_alive(self, region: str, now_ms: int) -> float:
        """Return 1 if a majority is alive, else the part that is.

        Instances that are cut off from each other would each take the whole
        capacity for their own.  Scaled so, the minorities together take no
        more than once the capacity beside the majority.  Of two equal halves
        the one with the first name counts as the majority (dynamic linear
        voting, Jajodia and Mutchler 1987).

        :param region: its name.
        :param now_ms: the time.
        """
        alive = self.list_alive(region)
        lost = self.list_lost(region, now_ms - self.remember_ms)
        total = len(alive) + len(lost)
        if 2 * len(alive) > total or not lost:
            return 1.0
        if 2 * len(alive) == total and min(alive) < min(lost):
            return 1.0
        return len(alive) / total
