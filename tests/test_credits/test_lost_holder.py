"""Tests of holders that are gone when grants are sent."""

from __future__ import annotations


def test_holder_that_is_forgotten_in_a_tick_does_not_end_it(make_rig):
    """Replacement of an instance.

    A holder dies and its grants end.  In the tick that forgets it the home
    also has a grant for it, because its own demand has just risen.  The look-up
    of the forgotten holder raised, and with it all other work of the tick was
    lost.
    """
    rig = make_rig('ab', endpoints=3, capacity=1)
    rig.run(200)
    home = rig.home()
    holder = next(name for name in rig.ledgers if name != home)
    rig.demand = {holder: {2: 1}, home: {1: 0}}
    rig.run(1_500)
    rig.stop(holder)
    rig.run(4_500)
    rig.demand[home] = {1: 5}
    rig.see_all()

    rig.run(3_000)

    assert rig.available(home) == 3


def test_next_home_does_not_wait_for_a_dead_one(make_rig):
    """Callers wait for seconds, and some are refused, beside idle endpoints.

    The home dies.  Its successor kept back what the dead one might be using,
    for the life of a grant, although a dead instance uses nothing: its
    connections are broken.  Meanwhile the old grants ran out everywhere.
    """
    rig = make_rig('abcd', endpoints=3, capacity=8)
    rig.run(200)
    rig.demand = {name: {0: 20} for name in rig.ledgers}
    rig.run(1_500)
    rig.stop(rig.home())
    rig.run(2_500)
    rig.see_all()

    rig.run(1_500)

    assert sum(rig.level(name) for name in rig.ledgers) >= 18


def test_new_member_does_not_stop_grants(make_rig):
    """Callers wait for up to four seconds whenever an instance joins.

    The home took each new member for one that may hold credits of another
    home, and raised nobody's credits until it had reported.
    """
    rig = make_rig('abc', endpoints=3, capacity=8)
    rig.run(200)
    rig.run(5_000)
    rig.start('d')
    rig.stop('d')
    busy = next(name for name in rig.ledgers if name != rig.home())
    rig.demand[busy] = {0: 20}

    rig.run(1_500)

    assert rig.level(busy) >= 12
