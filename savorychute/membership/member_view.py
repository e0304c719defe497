"""The members as seen by one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.member_address import MemberAddress


class MemberView(NamedTuple):
    """A snapshot of the members.

    ``alive`` is sorted by name.  It includes this instance unless it is leaving,
    and suspects, because most suspicions are refuted.  Members of unreachable
    regions are left out.  ``by_instance`` speeds up lookups; without it ``alive``
    is searched.
    """

    own: MemberAddress
    alive: tuple[MemberAddress, ...]
    suspects: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    by_instance: Mapping[str, MemberAddress] | None = None

    def is_alive(self, instance: str) -> bool:
        """Return whether *instance* is alive and not leaving.

        :param instance: a member's name.
        """
        return self.address_of(instance) is not None

    def address_of(self, instance: str) -> MemberAddress | None:
        """Return the address of a member that is alive, or None.

        :param instance: a member's name.
        """
        if self.by_instance is not None:
            return self.by_instance.get(instance)
        for address in self.alive:
            if address.instance == instance:
                return address
        return None
