"""Tests of invariants of the duties under arbitrary faults."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from duty_simulation import (
    CallFaults,
    DutySimulation,
    loop_ms,
    run_simulation,
    sleep_ms,
)
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

# Within this time, the duties may not return to an instance that another one has
# replaced.
HANDOVER_MS = 3_000
# A fault has no effect on an instance this long after it has ended.
RECOVERY_MS = 4_000
CALM_END_MS = 25_000


async def kill(simulation, number, duration_ms):
    del duration_ms
    simulation.restart(number)


async def pause(simulation, number, duration_ms):
    connection = simulation.instances[number].connection
    connection.pause()
    await sleep_ms(duration_ms)
    connection.resume()


async def cut_from_store(simulation, number, duration_ms):
    connection = simulation.instances[number].connection
    connection.cut_from_store = True
    await sleep_ms(duration_ms)
    connection.cut_from_store = False


async def cut_from_platform(simulation, number, duration_ms):
    connection = simulation.instances[number].connection
    connection.cut_from_platform = True
    await sleep_ms(duration_ms)
    connection.cut_from_platform = False


async def store_down(simulation, number, duration_ms):
    del number
    simulation.store.is_down = True
    await sleep_ms(duration_ms)
    simulation.store.is_down = False


async def store_restores_older_copy(simulation, number, duration_ms):
    del number
    simulation.store.is_down = True
    await sleep_ms(duration_ms % 1_500)
    simulation.store.restore_older_copy(duration_ms)
    simulation.store.is_down = False


async def history_lost(simulation, number, duration_ms):
    del number, duration_ms
    simulation.store.drop_history()


async def faulty_store(simulation, number, duration_ms):
    simulation.store.faults = CallFaults(
        lost=0.3, late=0.3 * (number % 2), slow_ms=200 * (number // 2)
    )
    await sleep_ms(duration_ms)
    simulation.store.faults = CallFaults()


async def platform_down(simulation, number, duration_ms):
    del number
    simulation.platform.is_down = True
    await sleep_ms(duration_ms)
    simulation.platform.is_down = False


async def faulty_platform(simulation, number, duration_ms):
    simulation.platform.faults = CallFaults(
        lost=0.4, late=0.4 * (number % 2), slow_ms=700 * (number // 2)
    )
    await sleep_ms(duration_ms)
    simulation.platform.faults = CallFaults()


FAULTS = (
    kill,
    pause,
    cut_from_store,
    cut_from_platform,
    store_down,
    store_restores_older_copy,
    history_lost,
    faulty_store,
    platform_down,
    faulty_platform,
)
# Faults of a single instance, which may then act out of order.
INSTANCE_FAULTS = (kill, pause, cut_from_store, cut_from_platform)

fault_plans = st.lists(
    st.tuples(
        st.integers(0, 40_000),
        st.sampled_from(FAULTS),
        st.integers(0, 2),
        st.integers(100, 9_000),
    ),
    max_size=9,
)


def run_faults(seed, plan):
    async def inject(simulation, at_ms, fault, number, duration_ms):
        await sleep_ms(at_ms)
        started_ms = loop_ms()
        instance_name = (
            simulation.instances[number].name if fault in INSTANCE_FAULTS else None
        )
        simulation.disruptions.append([started_ms, float('inf'), instance_name])
        entry = simulation.disruptions[-1]
        await fault(simulation, number, duration_ms)
        entry[1] = loop_ms()

    async def main():
        simulation = DutySimulation(seed)
        injections = [asyncio.create_task(inject(simulation, *each)) for each in plan]
        await sleep_ms(40_000)
        await asyncio.gather(*injections)
        await sleep_ms(CALM_END_MS)
        simulation.stop()
        return simulation

    return run_simulation(main())


def is_undisturbed(simulation, instance, from_ms, until_ms):
    """Return whether no fault affected an instance or the store around some time."""
    return not any(
        started_ms <= until_ms
        and ended_ms >= from_ms - RECOVERY_MS
        and instance_name in (None, instance)
        for started_ms, ended_ms, instance_name in simulation.disruptions
    )


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
)
@given(seed=st.integers(0, 1 << 20), plan=fault_plans)
def test_duty_invariants_hold(seed, plan):
    """Guards against duplicate reports, shared fencing numbers and alternating holders.

    Instances are killed, paused and disconnected, responses are lost, calls are
    executed seconds late, and the store drops its history, is down, or restores an
    older copy.
    """
    simulation = run_faults(seed, plan)
    calls = simulation.platform.calls

    # A window never has two different reports.
    assert all(
        len(each) == 1 for each in simulation.platform.accepted_counts().values()
    )

    # A fencing number belongs to one run of one instance.
    holders = defaultdict(set)
    for call in calls:
        holders[call.fencing].add(call.instance)
    assert all(len(each) == 1 for each in holders.values())

    # An instance stops calling with a refused number, except for calls already in
    # flight.
    refused_ms = {}
    for call in calls:
        if call.accepted:
            continue
        first_ms = refused_ms.setdefault((call.instance, call.fencing), call.at_ms)
        undisturbed = is_undisturbed(simulation, call.instance, first_ms, call.at_ms)
        assert not undisturbed or call.at_ms - first_ms <= HANDOVER_MS

    # An undisturbed instance does not act again after another undisturbed one replaced
    # it.
    accepted_calls = [call for call in calls if call.accepted]
    for position, last in enumerate(accepted_calls):
        before = [
            each
            for each in accepted_calls[:position]
            if last.at_ms - each.at_ms < HANDOVER_MS
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
                undisturbed = all(
                    is_undisturbed(simulation, each, first.at_ms, last.at_ms)
                    for each in (last.instance, other.instance)
                )
                assert not undisturbed

    # Reports continue after all faults have ended.
    end_ms = max(each.at_ms for each in calls) if calls else 0.0
    assert end_ms > 40_000
