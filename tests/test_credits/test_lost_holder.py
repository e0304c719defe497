"""Tests of holders that are lost when grants are sent."""

from __future__ import annotations


def test_holder_that_is_removed_in_a_tick_does_not_end_it(make_cluster):
    """The work of a tick was lost when an instance was replaced.

    A holder dies and its grants expire.  In the tick that removes it, the home also has
    a grant for it, because the home's own demand has just risen.  The look-up of the
    removed holder raised an exception, which ended the tick.
    """
    cluster = make_cluster('ab', endpoints=3, capacity=1)
    cluster.run(200)
    home = cluster.home()
    holder = next(name for name in cluster.ledgers if name != home)
    cluster.demand = {holder: {2: 1}, home: {1: 0}}
    cluster.run(1_500)
    cluster.stop(holder)
    cluster.run(4_500)
    cluster.demand[home] = {1: 5}
    cluster.see_all()

    cluster.run(3_000)

    assert cluster.available(home) == 3


def test_next_home_does_not_wait_for_a_dead_one(make_cluster):
    """Callers wait for seconds, and some are refused, although endpoints are idle.

    The home dies.  Its successor reserved what the dead one might be using for the
    duration of a grant, although a dead instance uses nothing: its connections are
    broken.  Meanwhile the old grants expired on all instances.
    """
    cluster = make_cluster('abcd', endpoints=3, capacity=8)
    cluster.run(200)
    cluster.demand = {name: {0: 20} for name in cluster.ledgers}
    cluster.run(1_500)
    cluster.stop(cluster.home())
    cluster.run(2_500)
    cluster.see_all()

    cluster.run(1_500)

    assert sum(cluster.level(name) for name in cluster.ledgers) >= 18


def test_new_member_does_not_stop_grants(make_cluster):
    """Callers wait for up to four seconds whenever an instance joins.

    The home assumed that each new member may hold credits of another home, and raised
    no levels until the member had reported.
    """
    cluster = make_cluster('abc', endpoints=3, capacity=8)
    cluster.run(200)
    cluster.run(5_000)
    cluster.start('d')
    cluster.stop('d')
    busy = next(name for name in cluster.ledgers if name != cluster.home())
    cluster.demand[busy] = {0: 20}

    cluster.run(1_500)

    assert cluster.level(busy) >= 12
