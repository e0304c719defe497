"""Tests of duties that one instance at a time carries out, under failures."""

from __future__ import annotations

import pytest
from duty_world import WINDOWS, Trouble, World, loop_ms, run_world, sleep_ms

from savorychute.gateway.duties.duty_claims import ERA_PATIENCE_MS
from savorychute.gateway.duties.duty_order import DutyOutcome

# A report is due so long after its window.
DUE_MS = WINDOWS.due_ms


def play(scenario, seed=1, instances=3):
    """Run a scenario in a world; return the world."""

    async def main():
        world = World(seed, instances)
        try:
            await scenario(world)
        finally:
            world.end()
        return world

    return run_world(main())


def missed(world, until_ms):
    """Return the windows of a calm world whose report was not accepted in time."""
    first_ms, begin_ms = 10_000, 1_800_000_002_500
    wanted = range(
        WINDOWS.at(begin_ms + first_ms), WINDOWS.at(begin_ms + until_ms - DUE_MS)
    )
    in_time = {
        call.window
        for call in world.platform.calls
        if call.accepted
        and begin_ms + call.at_ms <= WINDOWS.end_ms(call.window) + DUE_MS
    }
    return [window for window in wanted if window not in in_time]


def test_each_window_is_reported_once():
    async def scenario(world):
        await sleep_ms(60_000)

    world = play(scenario)

    assert not missed(world, 60_000)
    windows = [call.window for call in world.platform.calls]
    assert len(windows) == len(set(windows))


def test_report_whose_answer_was_lost_is_sent_again_with_the_same_counts():
    """Two reports for one window.

    The holder sends a report, its answer is lost, and the holder is killed.  Its successor
    has other counts, and a larger fencing number, so its report would be accepted too.
    """

    async def scenario(world):
        world.platform.trouble = Trouble(lost=1.0)
        for _ in range(4):
            sent = len(world.platform.calls)
            while len(world.platform.calls) == sent:
                await sleep_ms(20)
            world.restart(world.holder())
            await sleep_ms(7_000)
        world.platform.trouble = Trouble()
        await sleep_ms(20_000)

    world = play(scenario)

    counts = world.platform.accepted().values()
    assert len(counts) > 5
    assert all(len(each) == 1 for each in counts)


@pytest.mark.parametrize('seed', range(8))
def test_killed_holder_is_followed_in_time_for_its_report(seed):
    """A report that came too late because nobody held the duty."""

    async def scenario(world):
        await sleep_ms(20_000 + 700 * seed)
        world.restart(world.holder())
        await sleep_ms(30_000)

    assert not missed(play(scenario, seed), 50_000)


@pytest.mark.parametrize('seed', range(4))
def test_paused_holder_sends_nothing_that_counts_after_its_successor(seed):
    """A holder that stands still for four seconds with a call on its way.

    When it goes on, its call arrives after its successor's.
    """

    async def scenario(world):
        for _ in range(4):
            await sleep_ms(9_000 + 500 * seed)
            line = world.instances[world.holder() or 0].line
            line.freeze()
            await sleep_ms(4_000)
            line.thaw()
        await sleep_ms(20_000)

    world = play(scenario, seed)

    assert all(len(each) == 1 for each in world.platform.accepted().values())
    highest = 0
    for call in world.platform.calls:
        assert call.accepted == (call.fencing >= highest)
        highest = max(highest, call.fencing)


@pytest.mark.parametrize('harm', ['cut_from_store', 'cut_from_platform'])
def test_holder_that_is_cut_off_is_followed(harm):
    async def scenario(world):
        await sleep_ms(20_000)
        setattr(world.instances[world.holder()].line, harm, True)
        await sleep_ms(30_000)

    assert not missed(play(scenario), 50_000)


def test_reports_go_on_after_the_store_was_away():
    async def scenario(world):
        await sleep_ms(20_000)
        world.store.down = True
        await sleep_ms(5_000)
        world.store.down = False
        await sleep_ms(30_000)

    assert not missed(play(scenario), 55_000)


def test_reports_go_on_when_the_platform_was_away_for_four_seconds():
    async def scenario(world):
        await sleep_ms(22_000)
        world.platform.down = True
        await sleep_ms(4_000)
        world.platform.down = False
        await sleep_ms(30_000)

    assert not missed(play(scenario), 55_000)


def test_lost_history_costs_no_report():
    async def scenario(world):
        for _ in range(5):
            await sleep_ms(6_000)
            world.store.forget()
        await sleep_ms(20_000)

    assert not missed(play(scenario), 50_000)


@pytest.mark.parametrize('age_ms', [200, 3_000, 9_000, 14_000])
def test_fencing_numbers_rise_when_the_store_goes_back(age_ms):
    """A number that two holders had.

    The store comes back from an older copy, and the offset of the holder's claim is given
    out again, to the claim of another instance.
    """

    async def scenario(world):
        for _ in range(4):
            await sleep_ms(9_000)
            world.restart(world.holder())
            await sleep_ms(10_000)
            world.store.go_back(age_ms)
        await sleep_ms(20_000)

    world = play(scenario)

    holders = {}
    for call in world.platform.calls:
        holders.setdefault(call.fencing, set()).add(call.instance)
    assert len(holders) > 4
    assert all(len(each) == 1 for each in holders.values())
    assert all(call.accepted for call in world.platform.calls)


def test_report_that_an_older_copy_lacks_is_not_made_anew():
    """A second report for a window, after the first one's record was lost.

    The holder settles a report and sends it; then the store comes back from a copy without
    it, and the holder ends.  Whoever follows finds no report for a window that has one.
    """

    async def scenario(world):
        await sleep_ms(20_000)
        sent = len(world.platform.calls)
        world.platform.trouble = Trouble(lost=1.0)
        while len(world.platform.calls) == sent:
            await sleep_ms(10)
        world.platform.trouble = Trouble()
        holder = world.holder()
        for each in range(3):
            world.restart(each)
        world.store.go_back(2_000)
        assert holder is not None
        await sleep_ms(30_000)

    world = play(scenario)

    assert all(len(each) == 1 for each in world.platform.accepted().values())
    assert len(world.platform.accepted()) > 6


def test_late_write_of_an_earlier_holder_settles_nothing():
    """A report that the store wrote seconds after its writer had been followed.

    The successor settles its own, sends it and leaves.  The next one has just started; the
    history is dropped, and it finds the newest record, which must not be the late one.
    """

    async def scenario(world):
        await sleep_ms(20_000)
        first = world.holder()
        while not world.instances[first].worker._usage._busy:
            await sleep_ms(5)
            world.store.trouble = Trouble(late=1.0, late_ms=(7_000, 7_000))
        window = max(world.instances[first].worker._usage._busy)
        settled_ms = loop_ms()
        await sleep_ms(50)
        world.store.trouble = Trouble()
        world.restart(first)
        world.platform.trouble = Trouble(lost=1.0)
        while not any(call.window == window for call in world.platform.calls):
            await sleep_ms(20)
        await sleep_ms(settled_ms + 7_300 - loop_ms())
        world.store.forget()
        second = world.holder()
        for number in {0, 1, 2} - {second}:
            world.restart(number)
        await sleep_ms(100)
        world.instances[second].worker.leave()
        world.platform.trouble = Trouble()
        await sleep_ms(20_000)

    world = play(scenario)

    assert all(len(each) == 1 for each in world.platform.accepted().values())


def test_holder_that_stays_sends_what_it_settled_before_the_store_went_back():
    async def scenario(world):
        await sleep_ms(20_000)
        world.store.go_back(6_000)
        await sleep_ms(30_000)

    assert not missed(play(scenario), 50_000)


def test_refused_number_is_not_used_again():
    """A holder whose number another instance has passed goes on calling with it."""

    async def scenario(world):
        await sleep_ms(20_000)
        world.platform.highest = (1 << 32) + 50
        await sleep_ms(30_000)

    world = play(scenario)

    refused = {}
    for call in world.platform.calls:
        if not call.accepted:
            refused.setdefault(call.fencing, []).append(call.at_ms)
    assert refused
    assert all(max(each) - min(each) < 3_000 for each in refused.values())


def test_leaving_holder_is_followed_at_once():
    async def scenario(world):
        await sleep_ms(20_000)
        holder = world.holder()
        world.instances[holder].worker.leave()
        began_ms = loop_ms()
        while world.holder() in (None, holder):
            await sleep_ms(20)
        assert loop_ms() - began_ms < 2_000

    play(scenario)


def test_outcome_without_an_answer_is_not_taken_for_accepted():
    async def scenario(world):
        world.platform.trouble = Trouble(late=1.0)
        await sleep_ms(20_000)
        world.platform.trouble = Trouble()
        await sleep_ms(30_000)

    world = play(scenario)

    assert all(len(each) == 1 for each in world.platform.accepted().values())
    assert DutyOutcome.UNKNOWN is not DutyOutcome.ACCEPTED


def test_holder_goes_on_when_the_store_went_back():
    """Seconds without a holder after each older copy.

    The copy holds a claim of the holder, and in the new era it took itself for another one,
    which has to wait until that claim has lapsed.
    """

    async def scenario(world):
        await sleep_ms(20_000)
        holder = world.holder()
        world.store.go_back(3_000)
        await sleep_ms(ERA_PATIENCE_MS)
        assert world.holder() == holder

    play(scenario)


def test_window_that_nobody_remembers_is_not_reported_as_empty():
    """A report of no requests, after all instances had lost power together."""

    async def scenario(world):
        await sleep_ms(19_000)
        world.store.down = True
        await sleep_ms(4_000)
        world.store.down = False
        for number in range(3):
            world.restart(number)
        await sleep_ms(30_000)

    world = play(scenario)

    assert all(call.counts for call in world.platform.calls)
