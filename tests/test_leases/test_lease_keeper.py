"""One holder at a time, whatever stops, pauses or fails."""

from __future__ import annotations


def test_one_candidate_gets_the_lease_and_keeps_it(candidates):
    candidates.run(10_000)
    (holder,) = candidates.holders()
    fencing = candidates.fencing_of(holder)
    candidates.run(120_000)
    assert candidates.holders() == [holder]
    assert candidates.fencing_of(holder) == fencing


def test_successor_waits_the_whole_lease_and_has_a_higher_number(candidates):
    candidates.run(10_000)
    (holder,) = candidates.holders()
    fencing = candidates.fencing_of(holder)
    candidates.paused = {holder}
    started_ms = candidates.now_ms
    while not [name for name in candidates.holders() if name != holder]:
        candidates.run(100)
    settings = candidates.settings
    assert candidates.now_ms - started_ms > settings.duration_ms - 10_000
    (successor,) = candidates.holders()
    assert candidates.fencing_of(successor) > fencing


def test_paused_holder_does_not_believe_that_it_holds(candidates):
    """The holder's host is suspended for a minute while another takes over.

    When it wakes, nothing has told it: only the clock, which counted on.
    """
    candidates.run(10_000)
    (holder,) = candidates.holders()
    candidates.paused = {holder}
    candidates.run(60_000)
    assert candidates.fencing_of(holder) is None
    candidates.paused = set()
    candidates.run(60_000)
    assert len(candidates.holders()) == 1
    assert holder not in candidates.holders()


def test_log_down_at_renewal_ends_the_lease_early(candidates):
    """The log is down for longer than the lease.

    The holder cannot know whether a rival's claim is in the log, so it stops.
    """
    candidates.run(10_000)
    assert len(candidates.holders()) == 1
    candidates.log.is_up = False
    candidates.run(candidates.settings.duration_ms)
    assert candidates.holders() == []
    changes = [
        change.change
        for keeper in candidates.keepers.values()
        for change in keeper.take_changes()
    ]
    assert changes == ['acquired', 'lapsed']
    candidates.log.is_up = True
    candidates.run(40_000)
    assert len(candidates.holders()) == 1


def test_lost_replies_do_not_lose_the_lease(candidates):
    candidates.log.lose_replies = True
    candidates.run(60_000)
    assert len(candidates.holders()) == 1


def test_released_lease_is_taken_after_the_flight_of_orders(candidates):
    candidates.run(10_000)
    (holder,) = candidates.holders()
    keeper = candidates.keepers[holder]
    candidates.perform(keeper, keeper.release('placement', candidates.now_ms))
    assert candidates.holders() == []
    released_ms = candidates.now_ms
    while not candidates.holders():
        candidates.run(100)
    waited_ms = candidates.now_ms - released_ms
    settings = candidates.settings
    assert settings.order_flight_ms <= waited_ms < settings.duration_ms
