"""What holds of duties whatever fails."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from duty_world import Trouble, World, loop_ms, run_world, sleep_ms
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

# Between two instances that both go on, no third call may fall back to the first one.
LEASE_MS = 3_000
# Trouble that ended so long ago harms nobody any more.
CONTACT_MS = 4_000
END_MS = 25_000


async def kill(world, number, ms):
    del ms
    world.restart(number)


async def freeze(world, number, ms):
    line = world.instances[number].line
    line.freeze()
    await sleep_ms(ms)
    line.thaw()


async def cut_from_store(world, number, ms):
    line = world.instances[number].line
    line.cut_from_store = True
    await sleep_ms(ms)
    line.cut_from_store = False


async def cut_from_platform(world, number, ms):
    line = world.instances[number].line
    line.cut_from_platform = True
    await sleep_ms(ms)
    line.cut_from_platform = False


async def store_down(world, number, ms):
    del number
    world.store.down = True
    await sleep_ms(ms)
    world.store.down = False


async def store_back_older(world, number, ms):
    del number
    world.store.down = True
    await sleep_ms(ms % 1_500)
    world.store.go_back(ms)
    world.store.down = False


async def history_lost(world, number, ms):
    del number, ms
    world.store.forget()


async def store_troubled(world, number, ms):
    world.store.trouble = Trouble(
        lost=0.3, late=0.3 * (number % 2), slow_ms=200 * (number // 2)
    )
    await sleep_ms(ms)
    world.store.trouble = Trouble()


async def platform_down(world, number, ms):
    del number
    world.platform.down = True
    await sleep_ms(ms)
    world.platform.down = False


async def platform_troubled(world, number, ms):
    world.platform.trouble = Trouble(
        lost=0.4, late=0.4 * (number % 2), slow_ms=700 * (number // 2)
    )
    await sleep_ms(ms)
    world.platform.trouble = Trouble()


FAULTS = (
    kill,
    freeze,
    cut_from_store,
    cut_from_platform,
    store_down,
    store_back_older,
    history_lost,
    store_troubled,
    platform_down,
    platform_troubled,
)
# Those after which an instance is not the one that acts in order.
OF_ONE = (kill, freeze, cut_from_store, cut_from_platform)

plans = st.lists(
    st.tuples(
        st.integers(0, 40_000),
        st.sampled_from(FAULTS),
        st.integers(0, 2),
        st.integers(100, 9_000),
    ),
    max_size=9,
)


def play(seed, plan):
    async def strike(world, at_ms, fault, number, ms):
        await sleep_ms(at_ms)
        began_ms = loop_ms()
        whom = world.instances[number].name if fault in OF_ONE else None
        world.harmed.append([began_ms, float('inf'), whom])
        entry = world.harmed[-1]
        await fault(world, number, ms)
        entry[1] = loop_ms()

    async def main():
        world = World(seed)
        strikes = [asyncio.create_task(strike(world, *each)) for each in plan]
        await sleep_ms(40_000)
        await asyncio.gather(*strikes)
        await sleep_ms(END_MS)
        world.end()
        return world

    return run_world(main())


def is_calm(world, instance, from_ms, until_ms):
    """Return whether nothing harmed an instance, or the store, around some time."""
    return not any(
        began_ms <= until_ms
        and ended_ms >= from_ms - CONTACT_MS
        and whom in (None, instance)
        for began_ms, ended_ms, whom in world.harmed
    )


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
)
@given(seed=st.integers(0, 1 << 20), plan=plans)
def test_law_duties(seed, plan):
    """Two reports for a window, a number that two holders have, holders by turns.

    Instances are killed, paused and cut off, answers are lost, calls are carried out seconds
    late, and the store forgets, is away, or comes back from an older copy.
    """
    world = play(seed, plan)
    calls = world.platform.calls

    # A window never has two reports.
    assert all(len(each) == 1 for each in world.platform.accepted().values())

    # A number is of one run of one instance.
    holders = defaultdict(set)
    for call in calls:
        holders[call.fencing].add(call.instance)
    assert all(len(each) == 1 for each in holders.values())

    # An instance that was refused calls no more with that number, beyond what was sent.
    refused_ms = {}
    for call in calls:
        if call.accepted:
            continue
        first_ms = refused_ms.setdefault((call.instance, call.fencing), call.at_ms)
        calm = is_calm(world, call.instance, first_ms, call.at_ms)
        assert not calm or call.at_ms - first_ms <= LEASE_MS

    # Of two instances that go on, none acts, is followed, and acts again.
    acted = [call for call in calls if call.accepted]
    for position, last in enumerate(acted):
        before = [
            each for each in acted[:position] if last.at_ms - each.at_ms < LEASE_MS
        ]
        for first in before:
            if first.instance != last.instance:
                continue
            between = [
                each
                for each in before
                if first.at_ms < each.at_ms and each.instance != last.instance
            ]
            for other in between:
                calm = all(
                    is_calm(world, each, first.at_ms, last.at_ms)
                    for each in (last.instance, other.instance)
                )
                assert not calm

    # When all is well again, reports are made.
    end_ms = max(each.at_ms for each in calls) if calls else 0.0
    assert end_ms > 40_000
