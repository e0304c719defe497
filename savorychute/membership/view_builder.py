"""Builds a view from the table."""

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
    silent: frozenset[str],
) -> MemberView:
    """Return who is alive, suspected and leaving.

    :param table: all members but this instance.
    :param own: this instance.
    :param own_leaving: whether it is leaving.
    :param silent: regions whose members are left out.
    """
    alive = []
    suspects = []
    leaving = []
    for record in table:
        address = record.update.address
        if record.state == MemberState.DEAD or address.region in silent:
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
