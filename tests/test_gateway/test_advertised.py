"""Tests of what members say of themselves."""

from __future__ import annotations

import pytest

from savorychute.gateway.discovery.advertised import NOT_READY, read_advertised
from savorychute.member_address import MemberAddress
from savorychute.membership.ack import Ack
from savorychute.membership.digest import Digest
from savorychute.membership.gossip import Gossip
from savorychute.membership.member_state import MemberState
from savorychute.membership.member_update import MemberUpdate
from savorychute.membership.ping import Ping

ADDRESS = MemberAddress('kochi-1', 3, 'kerala', 'kochi', '10.0.0.1', 80, 81)
ORIGIN = MemberUpdate(ADDRESS, MemberState.ALIVE)


@pytest.mark.parametrize('version, ready', [(NOT_READY, False), (0, True), (7, True)])
@pytest.mark.parametrize(
    'make',
    [
        lambda version: Ping(1, ORIGIN, version),
        lambda version: Ack(1, ORIGIN, version),
        lambda version: Digest(ORIGIN, version, ()),
    ],
    ids=['ping', 'ack', 'digest'],
)
def test_probes_answers_and_digests_tell_who_takes_callers(make, version, ready):
    """An instance that callers were told late.

    It had probed all others, and they waited until they probed it themselves.
    """
    assert read_advertised(make(version)) == (ADDRESS, ready)


def test_gossip_tells_nothing_of_its_sender():
    assert read_advertised(Gossip((ORIGIN,))) is None
