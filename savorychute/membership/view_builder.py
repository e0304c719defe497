"""Builds a member view from the member table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.membership.member_state import MemberState
from savorychute.membership.member_view import MemberView

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_table import MemberTable


def build_view(
    table: MemberTable,
    own: MemberAddress,
    own_leaving: bool,
    unreachable: frozenset[str],
) -> MemberView:
    """Return a view of the alive, suspected and leaving members.

    :param table: all members but this instance.
    :param own: this instance.
    :param own_leaving: whether this instance is leaving.
    :param unreachable: regions whose members are left out.
    """
    alive = []
    suspects = []
    leaving = []
    for record in table:
        address = record.update.address
        if record.state == MemberState.DEAD or address.region in unreachable:
            continue
        if record.is_leaving:
            leaving.append(address.instance)
            continue
        alive.append(address)
        if record.state == MemberState.SUSPECT:
            suspects.append(address.instance)
    if own_leaving:
        leaving.append(own.instance)
    else:
        alive.append(own)
    alive.sort()
    return MemberView(
        own,
        tuple(alive),
        frozenset(suspects),
        frozenset(leaving),
        {address.instance: address for address in alive},
    )
