"""The assignment of endpoints to the instances that run suspects on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.recovery.ejector import list_pools

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.membership import MemberView


class SuspectLanes:
    """Assigns the endpoints of a pool to the instances round-robin.

    After a crash every instance has suspects to run again at once.  If suspects
    of several instances run on the same endpoint and it crashes, all of them
    share both crashes and each has to be run once more, at the cost of another
    crash.  Instances with the same view of members and endpoints never use the
    same endpoint at the same time; with different views they may, and their
    suspects are then run once more.  If there are fewer endpoints than instances,
    the instances that share an endpoint take turns.  Turns are counted from the
    crash, which all instances observe at the same moment because their connections
    break.

    :param instance: the name of this instance.
    :param turn_ms: the length of a turn at a shared endpoint.
    """

    def __init__(self, instance: str, turn_ms: int) -> None:
        self._instance = instance
        self._turn_ms = turn_ms
        self._endpoints: Mapping[str, EndpointDocument] = {}
        self._members: tuple[str, ...] = ()
        self._turns: dict[str, tuple[int, int]] = {}

    def set_endpoints(self, documents: Mapping[str, EndpointDocument]) -> None:
        """Set the configured endpoints."""
        self._endpoints = dict(documents)
        self._assign_endpoints()

    def set_view(self, view: MemberView) -> None:
        """Set the current members."""
        members = tuple(sorted(peer.instance for peer in view.alive))
        if members != self._members:
            self._members = members
            self._assign_endpoints()

    def is_assigned(self, endpoint: str, age_ms: int) -> bool:
        """Return whether this instance may run a suspect on *endpoint* now.

        :param age_ms: the time since the crash that made it a suspect.
        """
        if endpoint not in self._endpoints:
            return True
        turn, turn_count = self._turns.get(endpoint, (0, 0))
        return turn_count > 0 and age_ms // self._turn_ms % turn_count == turn

    def _assign_endpoints(self) -> None:
        groups: dict[tuple[str, ...], list[str]] = {}
        for name, document in sorted(self._endpoints.items()):
            groups.setdefault(list_pools(document), []).append(name)
        self._turns = {}
        if self._instance in self._members:
            position = self._members.index(self._instance)
            for names in groups.values():
                self._assign_group(names, position)

    def _assign_group(self, names: list[str], position: int) -> None:
        members = len(self._members)
        if len(names) >= members:
            for name in names[position::members]:
                self._turns[name] = (0, 1)
            return
        index = position % len(names)
        turn_count = len(range(index, members, len(names)))
        self._turns[names[index]] = (position // len(names), turn_count)
