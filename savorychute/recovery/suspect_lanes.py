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
    With the same view of members and endpoints no two instances share a lane;
    with different views they may, and then are tried once more.

    :param instance: this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._endpoints: Mapping[str, EndpointDocument] = {}
        self._members: tuple[str, ...] = ()
        self._own: frozenset[str] = frozenset()

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

    def is_own(self, endpoint: str) -> bool:
        """Return whether this instance tries suspects on *endpoint*."""
        return endpoint in self._own or endpoint not in self._endpoints

    def _deal(self) -> None:
        groups: dict[tuple[str, ...], list[str]] = {}
        for name, document in sorted(self._endpoints.items()):
            groups.setdefault(list_groups(document), []).append(name)
        own: set[str] = set()
        if self._instance in self._members:
            rank = self._members.index(self._instance)
            for names in groups.values():
                own.update(self._take_lanes(names, rank))
        self._own = frozenset(own)

    def _take_lanes(self, names: list[str], rank: int) -> list[str]:
        if len(names) < len(self._members):
            return [names[rank % len(names)]]
        return names[rank :: len(self._members)]
