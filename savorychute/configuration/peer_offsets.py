"""How far other instances are."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.configuration_state import NO_OFFSET

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

MAX_HEARD = 64


class PeerOffsets:
    """Offsets that other instances said of themselves, the latest heard.

    Only instances that are ready say an offset at all, so none of these is
    from the middle of somebody else's start.
    """

    def __init__(self) -> None:
        self._heard: dict[str, int] = {}

    def hear(self, instance: str, offset: int) -> None:
        """Note an instance's offset.

        :param instance: who said it.
        :param offset: its last offset.
        """
        self._heard.pop(instance, None)
        self._heard[instance] = offset
        if len(self._heard) > MAX_HEARD:
            del self._heard[next(iter(self._heard))]

    def forget(self, instance: str) -> None:
        """Forget an instance that did not answer."""
        self._heard.pop(instance, None)

    def count(self) -> int:
        """Return how many instances were heard."""
        return len(self._heard)

    def newest(self, gossiped: Mapping[str, int]) -> int:
        """Return the highest offset that any instance has said.

        :param gossiped: offsets that came with the membership's pings.
        """
        heard = max(self._heard.values(), default=NO_OFFSET)
        return max(heard, max(gossiped.values(), default=NO_OFFSET))

    def choose_ahead(
        self,
        view: MemberView,
        gossiped: Mapping[str, int],
        own_offset: int,
        rng: random.Random,
    ) -> MemberAddress | None:
        """Return an instance that is further than this one, the foremost first.

        :param view: the members; others cannot be reached.
        :param gossiped: offsets that came with the membership's pings.
        :param own_offset: this instance's offset.
        :param rng: chooses among equals.
        """
        if self.newest(gossiped) <= own_offset:
            return None
        ahead: list[tuple[int, str]] = [
            (offset, instance)
            for source in (self._heard, gossiped)
            for instance, offset in source.items()
            if offset > own_offset and instance != view.own.instance
        ]
        while ahead:
            foremost = max(offset for offset, _ in ahead)
            equals = [each for each in ahead if each[0] == foremost]
            chosen = rng.choice(equals)
            address = view.address_of(chosen[1])
            if address is not None:
                return address
            ahead.remove(chosen)
        return None
