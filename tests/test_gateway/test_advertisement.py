"""Tests of reading what members advertise about themselves."""

from __future__ import annotations

import pytest

from savorychute.gateway.discovery.advertisement import (
    NOT_READY_VERSION,
    read_advertisement,
)
from savorychute.member_address import MemberAddress
from savorychute.membership.ack import Ack
from savorychute.membership.digest import Digest
from savorychute.membership.gossip import Gossip
from savorychute.membership.member_state import MemberState
from savorychute.membership.member_update import MemberUpdate
from savorychute.membership.ping import Ping

ADDRESS = MemberAddress('kochi-1', 3, 'kerala', 'kochi', '10.0.0.1', 80, 81)
ORIGIN = MemberUpdate(ADDRESS, MemberState.ALIVE)


@pytest.mark.parametrize(
    'version, ready', [(NOT_READY_VERSION, False), (0, True), (7, True)]
)
@pytest.mark.parametrize(
    'make_message',
    [
        lambda version: Ping(1, ORIGIN, version),
        lambda version: Ack(1, ORIGIN, version),
        lambda version: Digest(ORIGIN, version, ()),
    ],
    ids=['ping', 'ack', 'digest'],
)
def test_probes_acks_and_digests_advertise_readiness(make_message, version, ready):
    """Guards against an instance that callers learn of late.

    It had probed all others, but each waited until it probed that instance itself.
    """
    assert read_advertisement(make_message(version)) == (ADDRESS, ready)


def test_gossip_advertises_nothing_about_its_sender():
    assert read_advertisement(Gossip((ORIGIN,))) is None
