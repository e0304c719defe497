"""At most one holder at a time during stops, pauses and failures."""

from __future__ import annotations


def test_one_candidate_acquires_and_keeps_the_lease(candidates):
    candidates.run(10_000)
    (holder,) = candidates.holders()
    fencing = candidates.fencing_of(holder)
    candidates.run(120_000)
    assert candidates.holders() == [holder]
    assert candidates.fencing_of(holder) == fencing


def test_successor_waits_for_the_lease_to_end_and_gets_a_higher_number(candidates):
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


def test_paused_holder_no_longer_holds_the_lease(candidates):
    """The holder's host is suspended for a minute while another takes over.

    When it resumes, it has received no message; only its clock shows that the
    lease has expired.
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


def test_log_outage_at_renewal_ends_the_lease_early(candidates):
    """The log is down for longer than the lease.

    The holder cannot know whether another claim is in the log, so it stops.
    """
    candidates.run(10_000)
    assert len(candidates.holders()) == 1
    candidates.log.is_up = False
    candidates.run(candidates.settings.duration_ms)
    assert candidates.holders() == []
    changes = [
        change.change
        for manager in candidates.managers.values()
        for change in manager.take_changes()
    ]
    assert changes == ['acquired', 'lapsed']
    candidates.log.is_up = True
    candidates.run(40_000)
    assert len(candidates.holders()) == 1


def test_lost_replies_do_not_lose_the_lease(candidates):
    candidates.log.lose_replies = True
    candidates.run(60_000)
    assert len(candidates.holders()) == 1


def test_released_lease_is_acquired_after_the_order_flight_time(candidates):
    candidates.run(10_000)
    (holder,) = candidates.holders()
    manager = candidates.managers[holder]
    candidates.perform(manager, manager.release('placement', candidates.now_ms))
    assert candidates.holders() == []
    released_ms = candidates.now_ms
    while not candidates.holders():
        candidates.run(100)
    waited_ms = candidates.now_ms - released_ms
    settings = candidates.settings
    assert settings.order_flight_ms <= waited_ms < settings.duration_ms
