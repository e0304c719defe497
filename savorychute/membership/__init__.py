"""Membership of instances, key ownership and discovery for callers."""

from __future__ import annotations

from savorychute.membership.discovery import answer_discovery
from savorychute.membership.discovery_answer import DiscoveryAnswer
from savorychute.membership.discovery_settings import DiscoverySettings
from savorychute.membership.home_table import HomeTable
from savorychute.membership.member_change import MemberChange
from savorychute.membership.member_state import MemberState
from savorychute.membership.member_update import MemberUpdate
from savorychute.membership.member_view import MemberView
from savorychute.membership.membership import Membership
from savorychute.membership.rendezvous import choose_homes
from savorychute.membership.settings import MembershipSettings

__all__ = [
    'DiscoveryAnswer',
    'DiscoverySettings',
    'HomeTable',
    'MemberChange',
    'MemberState',
    'MemberUpdate',
    'MemberView',
    'Membership',
    'MembershipSettings',
    'answer_discovery',
    'choose_homes',
]
