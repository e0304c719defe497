"""Tests of limits with the platform's list of terminated instances."""

from __future__ import annotations

from savorychute.inputs import ListingFetched
from savorychute.member_address import MemberAddress

UNLIMITED = 10**6


def apply_listing_to_all(cluster, names):
    live = tuple(MemberAddress(n, 1, 'south', 'hall', '10.0.0.1', 1, 2) for n in names)
    for limiter in cluster.limiters.values():
        limiter.apply_listing(ListingFetched(True, live), cluster.now_ms)


def test_last_instance_serves_once_the_others_are_off_the_list(make_cluster):
    """The last instance would serve no requests for hours.

    Two of three instances crash within seconds.  A network partition may separate the
    last one from two that are running, so it grants nothing until the platform's list
    shows that the two have terminated.
    """
    cluster = make_cluster('abc', demand=UNLIMITED)
    apply_listing_to_all(cluster, 'abc')
    for name in 'ab':
        cluster.stop(name)
        cluster.run(1_000)
    cluster.run(200_000)
    assert cluster.in_use() == 0

    apply_listing_to_all(cluster, 'c')
    cluster.run(2_000)

    assert cluster.in_use() >= 30


def test_list_without_this_instance_is_ignored(make_cluster):
    """An instance that is cut off would claim a contract that others use, too.

    Its list is empty, because the platform's service has lost its entries.
    """
    cluster = make_cluster('abc', demand=UNLIMITED)
    apply_listing_to_all(cluster, 'abc')
    cluster.cut({'a': 1})
    cluster.run(200_000)

    limiter = cluster.limiters['a']
    limiter.apply_listing(ListingFetched(True, ()), cluster.now_ms)
    cluster.run(2_000)

    assert cluster.running['a'] == []
