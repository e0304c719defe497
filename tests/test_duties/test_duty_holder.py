"""Tests of duties that one instance at a time performs, under failures."""

from __future__ import annotations

import pytest
from duty_simulation import (
    WINDOWS,
    CallFaults,
    DutySimulation,
    loop_ms,
    run_simulation,
    sleep_ms,
)

from savorychute.gateway.duties.duty_claims import NEW_ERA_CLAIM_DELAY_MS
from savorychute.gateway.duties.duty_order import DutyOutcome

# A report is due this long after the end of its window.
DUE_MS = WINDOWS.due_ms


def run_scenario(scenario, seed=1, instances=3):
    """Run a scenario in a simulation; return the simulation."""

    async def main():
        simulation = DutySimulation(seed, instances)
        try:
            await scenario(simulation)
        finally:
            simulation.stop()
        return simulation

    return run_simulation(main())


def missed_windows(simulation, until_ms):
    """Return the windows of a fault-free simulation with no accepted report in time."""
    warm_up_ms, start_true_ms = 10_000, 1_800_000_002_500
    expected = range(
        WINDOWS.window_at(start_true_ms + warm_up_ms),
        WINDOWS.window_at(start_true_ms + until_ms - DUE_MS),
    )
    in_time = {
        call.window
        for call in simulation.platform.calls
        if call.accepted
        and start_true_ms + call.at_ms <= WINDOWS.end_ms(call.window) + DUE_MS
    }
    return [window for window in expected if window not in in_time]


def test_each_window_is_reported_once():
    async def scenario(simulation):
        await sleep_ms(60_000)

    simulation = run_scenario(scenario)

    assert not missed_windows(simulation, 60_000)
    reported = [call.window for call in simulation.platform.calls]
    assert len(reported) == len(set(reported))


def test_report_with_a_lost_response_is_resent_with_the_same_counts():
    """Guards against two different reports for one window.

    The holder sends a report, the response is lost, and the holder is killed. Its
    successor has other counts and a larger fencing number, so the platform would accept
    its report too.
    """

    async def scenario(simulation):
        simulation.platform.faults = CallFaults(lost=1.0)
        for _ in range(4):
            sent = len(simulation.platform.calls)
            while len(simulation.platform.calls) == sent:
                await sleep_ms(20)
            simulation.restart(simulation.holder())
            await sleep_ms(7_000)
        simulation.platform.faults = CallFaults()
        await sleep_ms(20_000)

    simulation = run_scenario(scenario)

    counts = simulation.platform.accepted_counts().values()
    assert len(counts) > 5
    assert all(len(each) == 1 for each in counts)


@pytest.mark.parametrize('seed', range(8))
def test_killed_holder_is_replaced_before_its_report_is_due(seed):
    """Guards against a late report because no instance holds the duty."""

    async def scenario(simulation):
        await sleep_ms(20_000 + 700 * seed)
        simulation.restart(simulation.holder())
        await sleep_ms(30_000)

    assert not missed_windows(run_scenario(scenario, seed), 50_000)


@pytest.mark.parametrize('seed', range(4))
def test_calls_of_a_paused_holder_are_fenced_after_its_successor(seed):
    """A holder is paused for four seconds with a call in flight.

    When it resumes, its call arrives after its successor's.
    """

    async def scenario(simulation):
        for _ in range(4):
            await sleep_ms(9_000 + 500 * seed)
            connection = simulation.instances[simulation.holder() or 0].connection
            connection.pause()
            await sleep_ms(4_000)
            connection.resume()
        await sleep_ms(20_000)

    simulation = run_scenario(scenario, seed)

    assert all(
        len(each) == 1 for each in simulation.platform.accepted_counts().values()
    )
    highest = 0
    for call in simulation.platform.calls:
        assert call.accepted == (call.fencing >= highest)
        highest = max(highest, call.fencing)


@pytest.mark.parametrize('fault', ['cut_from_store', 'cut_from_platform'])
def test_disconnected_holder_is_replaced(fault):
    async def scenario(simulation):
        await sleep_ms(20_000)
        setattr(simulation.instances[simulation.holder()].connection, fault, True)
        await sleep_ms(30_000)

    assert not missed_windows(run_scenario(scenario), 50_000)


def test_reports_continue_after_a_store_outage():
    async def scenario(simulation):
        await sleep_ms(20_000)
        simulation.store.is_down = True
        await sleep_ms(5_000)
        simulation.store.is_down = False
        await sleep_ms(30_000)

    assert not missed_windows(run_scenario(scenario), 55_000)


def test_reports_continue_after_a_platform_outage_of_four_seconds():
    async def scenario(simulation):
        await sleep_ms(22_000)
        simulation.platform.is_down = True
        await sleep_ms(4_000)
        simulation.platform.is_down = False
        await sleep_ms(30_000)

    assert not missed_windows(run_scenario(scenario), 55_000)


def test_lost_history_loses_no_report():
    async def scenario(simulation):
        for _ in range(5):
            await sleep_ms(6_000)
            simulation.store.drop_history()
        await sleep_ms(20_000)

    assert not missed_windows(run_scenario(scenario), 50_000)


@pytest.mark.parametrize('age_ms', [200, 3_000, 9_000, 14_000])
def test_fencing_numbers_rise_when_an_older_copy_is_restored(age_ms):
    """Guards against one fencing number for two holders.

    The store restores an older copy and reuses the offset of the holder's claim for the
    claim of another instance.
    """

    async def scenario(simulation):
        for _ in range(4):
            await sleep_ms(9_000)
            simulation.restart(simulation.holder())
            await sleep_ms(10_000)
            simulation.store.restore_older_copy(age_ms)
        await sleep_ms(20_000)

    simulation = run_scenario(scenario)

    holders = {}
    for call in simulation.platform.calls:
        holders.setdefault(call.fencing, set()).add(call.instance)
    assert len(holders) > 4
    assert all(len(each) == 1 for each in holders.values())
    assert all(call.accepted for call in simulation.platform.calls)


def test_report_missing_from_an_older_copy_is_not_recreated():
    """Guards against a second report for a window whose first record was lost.

    The holder settles a report and sends it; then the store restores a copy without it,
    and the holder ends. Its successor finds no settled report for a window that has
    been reported.
    """

    async def scenario(simulation):
        await sleep_ms(20_000)
        sent = len(simulation.platform.calls)
        simulation.platform.faults = CallFaults(lost=1.0)
        while len(simulation.platform.calls) == sent:
            await sleep_ms(10)
        simulation.platform.faults = CallFaults()
        holder = simulation.holder()
        for number in range(3):
            simulation.restart(number)
        simulation.store.restore_older_copy(2_000)
        assert holder is not None
        await sleep_ms(30_000)

    simulation = run_scenario(scenario)

    assert all(
        len(each) == 1 for each in simulation.platform.accepted_counts().values()
    )
    assert len(simulation.platform.accepted_counts()) > 6


def test_late_write_of_an_earlier_holder_settles_nothing():
    """The store executes the write of a report seconds after its writer was replaced.

    The successor settles its own report, sends it and leaves. The next holder has just
    started. The history is dropped, so it reads only the newest record of the key,
    which must not be the late one.
    """

    async def scenario(simulation):
        await sleep_ms(20_000)
        first = simulation.holder()
        while not simulation.instances[first].worker._usage._in_progress:
            await sleep_ms(5)
            simulation.store.faults = CallFaults(late=1.0, late_ms=(7_000, 7_000))
        window = max(simulation.instances[first].worker._usage._in_progress)
        settled_ms = loop_ms()
        await sleep_ms(50)
        simulation.store.faults = CallFaults()
        simulation.restart(first)
        simulation.platform.faults = CallFaults(lost=1.0)
        while not any(call.window == window for call in simulation.platform.calls):
            await sleep_ms(20)
        await sleep_ms(settled_ms + 7_300 - loop_ms())
        simulation.store.drop_history()
        second = simulation.holder()
        for number in {0, 1, 2} - {second}:
            simulation.restart(number)
        await sleep_ms(100)
        simulation.instances[second].worker.leave()
        simulation.platform.faults = CallFaults()
        await sleep_ms(20_000)

    simulation = run_scenario(scenario)

    assert all(
        len(each) == 1 for each in simulation.platform.accepted_counts().values()
    )


def test_holder_sends_reports_settled_before_an_older_copy_was_restored():
    async def scenario(simulation):
        await sleep_ms(20_000)
        simulation.store.restore_older_copy(6_000)
        await sleep_ms(30_000)

    assert not missed_windows(run_scenario(scenario), 50_000)


def test_refused_fencing_number_is_not_reused():
    """Guards against a holder that continues to call with a refused fencing number."""

    async def scenario(simulation):
        await sleep_ms(20_000)
        simulation.platform.highest = (1 << 32) + 50
        await sleep_ms(30_000)

    simulation = run_scenario(scenario)

    refused = {}
    for call in simulation.platform.calls:
        if not call.accepted:
            refused.setdefault(call.fencing, []).append(call.at_ms)
    assert refused
    assert all(max(each) - min(each) < 3_000 for each in refused.values())


def test_leaving_holder_is_replaced_at_once():
    async def scenario(simulation):
        await sleep_ms(20_000)
        holder = simulation.holder()
        simulation.instances[holder].worker.leave()
        started_ms = loop_ms()
        while simulation.holder() in (None, holder):
            await sleep_ms(20)
        assert loop_ms() - started_ms < 2_000

    run_scenario(scenario)


def test_unknown_outcome_is_not_treated_as_accepted():
    async def scenario(simulation):
        simulation.platform.faults = CallFaults(late=1.0)
        await sleep_ms(20_000)
        simulation.platform.faults = CallFaults()
        await sleep_ms(30_000)

    simulation = run_scenario(scenario)

    assert all(
        len(each) == 1 for each in simulation.platform.accepted_counts().values()
    )
    assert DutyOutcome.UNKNOWN is not DutyOutcome.ACCEPTED


def test_holder_keeps_the_duties_when_an_older_copy_is_restored():
    """Guards against seconds without a holder after each restore of an older copy.

    The copy contains a claim of the holder. The holder must not treat it as the claim
    of another instance, whose expiry it would have to wait for.
    """

    async def scenario(simulation):
        await sleep_ms(20_000)
        holder = simulation.holder()
        simulation.store.restore_older_copy(3_000)
        await sleep_ms(NEW_ERA_CLAIM_DELAY_MS)
        assert simulation.holder() == holder

    run_scenario(scenario)


def test_window_without_known_counts_is_not_reported_as_empty():
    """Guards against an empty report after all instances have lost power together."""

    async def scenario(simulation):
        await sleep_ms(19_000)
        simulation.store.is_down = True
        await sleep_ms(4_000)
        simulation.store.is_down = False
        for number in range(3):
            simulation.restart(number)
        await sleep_ms(30_000)

    simulation = run_scenario(scenario)

    assert all(call.counts for call in simulation.platform.calls)
