"""Which instance tries suspects on which endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.recovery.ejector import list_groups

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.membership import MemberView


class SuspectLanes:
    """Deals the endpoints of a pool out to the instances in turn.

    After a crash every instance has suspects to run again at once.  If those of
    several instances meet on an endpoint that crashes, all of them share both
    crashes and each has to be tried once more, at the price of another crash.
    With the same view of members and endpoints no two instances share a lane
    at a time; with different views they may, and then are tried once more.  Where
    there are fewer endpoints than instances, those that share a lane take turns,
    counted from the crash: all of them see it at the same moment, because their
    connections break.

    :param instance: this instance.
    :param turn_ms: how long a turn in a shared lane takes.
    """

    def __init__(self, instance: str, turn_ms: int) -> None:
        self._instance = instance
        self._turn_ms = turn_ms
        self._endpoints: Mapping[str, EndpointDocument] = {}
        self._members: tuple[str, ...] = ()
        self._turns: dict[str, tuple[int, int]] = {}

    def set_endpoints(self, documents: Mapping[str, EndpointDocument]) -> None:
        """Take over the configured endpoints."""
        self._endpoints = dict(documents)
        self._deal()

    def set_view(self, view: MemberView) -> None:
        """Take over who is alive."""
        members = tuple(sorted(peer.instance for peer in view.alive))
        if members != self._members:
            self._members = members
            self._deal()

    def is_own(self, endpoint: str, age_ms: int) -> bool:
        """Return whether this instance may try a suspect on *endpoint* now.

        :param age_ms: the time since the crash that made it a suspect.
        """
        if endpoint not in self._endpoints:
            return True
        turn, turns = self._turns.get(endpoint, (0, 0))
        return turns > 0 and age_ms // self._turn_ms % turns == turn

    def _deal(self) -> None:
        groups: dict[tuple[str, ...], list[str]] = {}
        for name, document in sorted(self._endpoints.items()):
            groups.setdefault(list_groups(document), []).append(name)
        self._turns = {}
        if self._instance in self._members:
            rank = self._members.index(self._instance)
            for names in groups.values():
                self._take_lanes(names, rank)

    def _take_lanes(self, names: list[str], rank: int) -> None:
        members = len(self._members)
        if len(names) >= members:
            for name in names[rank::members]:
                self._turns[name] = (0, 1)
            return
        lane = rank % len(names)
        turns = len(range(lane, members, len(names)))
        self._turns[names[lane]] = (rank // len(names), turns)
