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
