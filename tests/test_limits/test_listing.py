"""Tests of limits when the platform says who has ended."""

from __future__ import annotations

from savorychute.inputs import ListingFetched
from savorychute.member_address import MemberAddress

EVERYTHING = 10**6


def tell_list(rig, names):
    live = tuple(MemberAddress(n, 1, 'south', 'hall', '10.0.0.1', 1, 2) for n in names)
    for limiter in rig.limiters.values():
        limiter.apply_listing(ListingFetched(True, live), rig.now_ms)


def test_last_instance_serves_once_the_others_are_off_the_list(make_rig):
    """The last instance answers nobody for hours.

    Two of three instances crash within seconds.  The last one may be cut off
    from two that work, and so grants nothing, until the platform's list says
    that the two have ended.
    """
    rig = make_rig('abc', greed=EVERYTHING)
    tell_list(rig, 'abc')
    for name in 'ab':
        rig.stop(name)
        rig.run(1_000)
    rig.run(200_000)
    assert rig.in_use() == 0

    tell_list(rig, 'c')
    rig.run(2_000)

    assert rig.in_use() >= 30


def test_list_without_this_instance_says_nothing(make_rig):
    """A cut off instance would take a contract that others use, too.

    Its list is empty, because the platform's service has lost its entries.
    """
    rig = make_rig('abc', greed=EVERYTHING)
    tell_list(rig, 'abc')
    rig.cut({'a': 1})
    rig.run(200_000)

    limiter = rig.limiters['a']
    limiter.apply_listing(ListingFetched(True, ()), rig.now_ms)
    rig.run(2_000)

    assert rig.running['a'] == []
