"""Configuration offsets of other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.configuration_state import NO_OFFSET

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

MAX_PEER_OFFSETS = 64


class PeerOffsets:
    """The latest offsets that other instances reported.

    Only instances that are ready report an offset, so none of these offsets
    belongs to an instance that is still starting.
    """

    def __init__(self) -> None:
        self._offsets: dict[str, int] = {}

    def record_reported(self, instance: str, offset: int) -> None:
        """Record an offset that an instance reported.

        :param instance: the instance that reported it.
        :param offset: the last offset of that instance.
        """
        self._offsets.pop(instance, None)
        self._offsets[instance] = offset
        if len(self._offsets) > MAX_PEER_OFFSETS:
            del self._offsets[next(iter(self._offsets))]

    def discard(self, instance: str) -> None:
        """Discard the offset of an instance that did not respond."""
        self._offsets.pop(instance, None)

    def count(self) -> int:
        """Return the number of instances with a reported offset."""
        return len(self._offsets)

    def newest(self, gossiped: Mapping[str, int]) -> int:
        """Return the highest offset that any instance reported.

        :param gossiped: offsets by instance, from membership pings.
        """
        highest_offset = max(self._offsets.values(), default=NO_OFFSET)
        return max(highest_offset, max(gossiped.values(), default=NO_OFFSET))

    def choose_ahead(
        self,
        view: MemberView,
        gossiped: Mapping[str, int],
        own_offset: int,
        rng: random.Random,
    ) -> MemberAddress | None:
        """Return the member with the highest offset above *own_offset*, or None.

        :param view: the current members; other instances cannot be reached.
        :param gossiped: offsets by instance, from membership pings.
        :param own_offset: the offset of this instance.
        :param rng: chooses between members with equal offsets.
        """
        if self.newest(gossiped) <= own_offset:
            return None
        ahead: list[tuple[int, str]] = [
            (offset, instance)
            for source in (self._offsets, gossiped)
            for instance, offset in source.items()
            if offset > own_offset and instance != view.own.instance
        ]
        while ahead:
            highest_offset = max(offset for offset, _ in ahead)
            candidates = [each for each in ahead if each[0] == highest_offset]
            chosen = rng.choice(candidates)
            address = view.address_of(chosen[1])
            if address is not None:
                return address
            ahead.remove(chosen)
        return None
