"""Tests of organisation limits across all instances."""

from __future__ import annotations

from bisect import bisect_left

from hypothesis import given, settings
from hypothesis import strategies as st

from benches.limiter_rig import FAST, ORGANISATION, LimiterSimulation, build_limits

UNLIMITED = 10**6
CONCURRENT = 40


def assert_within_contract(cluster):
    assert cluster.in_use() <= CONCURRENT


def test_only_instance_has_the_whole_contract_after_one_tick(make_cluster):
    cluster = make_cluster('a', demand=UNLIMITED, settle_ms=60)

    assert cluster.units('a') == CONCURRENT
    assert cluster.in_use() == CONCURRENT


def test_unknown_organisation_can_start_nothing(make_cluster):
    cluster = make_cluster('a', settle_ms=60)

    assert cluster.limiters['a'].check('nobody', 1, cluster.now_ms) > 0


def test_instances_in_use_share_the_whole_contract(make_cluster):
    cluster = make_cluster()
    users = [name for name in cluster.limiters if name != cluster.home()][:3]
    for name in users:
        cluster.demand[name] = UNLIMITED

    cluster.run(600, lambda: assert_within_contract(cluster))

    assert cluster.in_use() == CONCURRENT
    assert min(cluster.units(name) for name in users) >= 12


def test_home_in_use_gives_up_units_due_to_others(make_cluster):
    cluster = make_cluster()
    home = cluster.home()
    users = [home, *(name for name in cluster.limiters if name != home)][:3]
    for name in users:
        cluster.demand[name] = UNLIMITED

    cluster.run(600, lambda: assert_within_contract(cluster))

    assert cluster.in_use() >= CONCURRENT - 1
    assert min(cluster.units(name) for name in users) >= 12


def test_share_moves_with_the_demand(make_cluster):
    """Units that are held unused must reach a new user within a second.

    An organisation's callers move from three instances to a fourth.  The shares of the
    three must not stay in place until they expire.
    """
    cluster = make_cluster()
    for name in 'abc':
        cluster.demand[name] = UNLIMITED
    cluster.run(2_000)
    for name in 'abc':
        cluster.demand[name] = 0
    cluster.demand['d'] = UNLIMITED

    cluster.run(1_000, lambda: assert_within_contract(cluster))

    assert cluster.units('d') >= 35


def test_fewer_units_than_instances_alternate(make_cluster):
    """Each of four instances must get a start in turn, or its callers wait for ever.

    A small organisation may run two requests at once, and its callers use four
    instances.
    """
    cluster = make_cluster('abcd', limits=build_limits(concurrent=2))
    for name in 'abcd':
        cluster.demand[name] = UNLIMITED
    started = set()

    def record():
        assert cluster.in_use() <= 2
        started.update(name for name, entries in cluster.running.items() if entries)

    cluster.run(12_000, record)

    assert started == set('abcd')


def test_shares_survive_the_crash_of_the_home(make_cluster):
    """Reported shares stay in force when the organisation's home crashes.

    They are valid until the crash is detected; then the next home takes them over from
    the reports.
    """
    cluster = make_cluster()
    home = cluster.home()
    for name in cluster.limiters:
        cluster.demand[name] = UNLIMITED if name != home else 0
    cluster.run(3_000)
    cluster.stop(home)
    least = CONCURRENT

    def measure():
        nonlocal least
        assert_within_contract(cluster)
        least = min(least, cluster.in_use())

    cluster.run(30_000, measure)

    assert cluster.home() != home
    assert least >= 35


def test_instances_that_are_cut_off_fall_back_to_their_floors(make_cluster):
    """An instance that is cut off continues with its share, then with its floor.

    An instance loses the others while the organisation's callers reach both sides.  The
    others receive the rest only when it can no longer be in use.
    """
    cluster = make_cluster('abcd')
    for name in 'abcd':
        cluster.demand[name] = UNLIMITED
    cluster.run(3_000)
    home = cluster.home()
    cut_off = [name for name in 'abcd' if name != home][:1]
    cluster.cut(dict.fromkeys(cut_off, 1))

    cluster.run(60_000, lambda: assert_within_contract(cluster))

    others = sum(cluster.units(name) for name in 'abcd' if name not in cut_off)
    assert 1 <= cluster.units(cut_off[0]) <= 4
    assert others >= 36


def test_minority_with_the_home_grants_nothing(make_cluster):
    """The home is cut off together with one other instance.

    It must not continue to grant the contract while a successor does the same on the
    other side.
    """
    cluster = make_cluster('abcde')
    for name in 'abcde':
        cluster.demand[name] = UNLIMITED
    cluster.run(3_000)
    home = cluster.home()
    other = next(name for name in 'abcde' if name != home)
    cluster.cut({home: 1, other: 1})

    cluster.run(80_000, lambda: assert_within_contract(cluster))
    assert cluster.units(home) <= 2
    assert cluster.units(other) <= 2

    cluster.cut({home: 0, other: 0})
    cluster.run(20_000, lambda: assert_within_contract(cluster))
    assert cluster.units(other) >= 5


def test_leaving_instance_returns_its_share(make_cluster):
    cluster = make_cluster('abcd')
    for name in 'abcd':
        cluster.demand[name] = UNLIMITED
    cluster.run(3_000)
    leaving = next(name for name in 'abcd' if name != cluster.home())
    cluster.leave(leaving)

    cluster.run(1_500, lambda: assert_within_contract(cluster))

    assert cluster.in_use() >= CONCURRENT - 1


def test_rate_holds_over_all_instances(make_cluster):
    """Eight instances with a burst each must not start eight bursts at once."""
    limits = build_limits(concurrent=200, requests_per_s=100)
    cluster = make_cluster(demand=UNLIMITED, settle_ms=20_000, limits=limits)

    starts = [at_ms for at_ms in cluster.starts if at_ms > 10_000]
    for window_ms in (1_000, 5_000):
        allowed = 100 * (window_ms + 1_000) / 1_000 + 8
        for first, at_ms in enumerate(starts):
            assert bisect_left(starts, at_ms + window_ms) - first <= allowed
    assert len(starts) >= 950


def test_tokens_used_beyond_the_expectation_delay_later_requests():
    cluster = LimiterSimulation(FAST, build_limits(tokens_per_s=1_000))
    cluster.start('a', demand=0)
    cluster.run(100)
    limiter = cluster.limiters['a']
    assert limiter.check(ORGANISATION, 100, cluster.now_ms) == 0

    limiter.start(ORGANISATION, 'x', 100, cluster.now_ms)
    limiter.finish('x', 3_000, cluster.now_ms)

    assert limiter.check(ORGANISATION, 100, cluster.now_ms) >= 2_000


def test_amended_contract_applies_at_once():
    cluster = LimiterSimulation(FAST, build_limits(concurrent=40))
    cluster.start('a', demand=UNLIMITED)
    cluster.run(1_000)

    cluster.limiters['a'].set_limits(build_limits(concurrent=4))
    cluster.run(1_000)

    assert cluster.in_use() <= 4


steps = st.lists(
    st.tuples(
        st.sampled_from(['join', 'crash', 'leave', 'cut', 'heal', 'wait']),
        st.integers(0, 8),
        st.integers(50, 2_000),
    ),
    min_size=6,
    max_size=18,
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(count=st.integers(1, 6), seed=st.integers(0, 1_000), steps=steps)
def test_contract_holds_through_cuts_joins_and_crashes(count, seed, steps):
    """An organisation must never run more than its contract permits.

    Instances join, crash, leave and lose each other in any order, each detects it after
    its own delay, and the organisation's callers reach all of them.  The limit is
    exceeded if two homes both consider themselves the only one.
    """
    cluster = LimiterSimulation(FAST, seed=seed)
    for number in range(count):
        cluster.start(f'i{number:02d}')
    cluster.run(1_000, lambda: assert_within_contract(cluster))
    is_cut = False
    for step, choice, wait_ms in steps:
        live = [name for name in cluster.limiters if name not in cluster.leaving]
        chosen = live[choice % len(live)]
        if step == 'join' and len(live) < 8:
            count += 1
            cluster.start(f'i{count:02d}', side=cluster.side[chosen])
        elif step == 'crash' and len(live) > 2:
            cluster.stop(chosen)
        elif step == 'leave' and len(live) > 2:
            cluster.leave(chosen)
        elif step == 'cut' and not is_cut:
            cluster.cut(dict.fromkeys(live[: 1 + choice % len(live)], 1))
            is_cut = True
        elif step == 'heal' and is_cut:
            cluster.cut(dict.fromkeys(cluster.limiters, 0))
            is_cut = False
        cluster.run(wait_ms, lambda: assert_within_contract(cluster))


def test_new_members_do_not_turn_a_minority_into_a_majority():
    """Both sides of a partition must not grant the contract.

    One instance of five is cut off, and three new ones start on its side.  They know of
    no lost members; if they counted as voters, they would outnumber them.
    """
    cluster = LimiterSimulation(FAST, seed=3)
    for name in 'abcde':
        cluster.start(name)
    cluster.run(2_000)
    cluster.cut({'e': 1})
    cluster.run(2_000, lambda: assert_within_contract(cluster))

    for name in 'xyz':
        cluster.start(name, side=1)
    cluster.run(6_000, lambda: assert_within_contract(cluster))

    assert sum(cluster.units(name) for name in 'abcd') >= 30


def test_only_instance_finishes_its_queue_while_it_leaves(make_cluster):
    """The only instance shuts down gracefully while requests wait.

    If it did not count itself as a member any more, it would find no home for the
    organisation and refuse work that it could still do.
    """
    cluster = make_cluster('a', settle_ms=100)
    cluster.set_empty_view('a')
    cluster.demand['a'] = 20

    cluster.run(100)

    assert cluster.in_use() == 20


def test_member_that_joined_before_a_cut_makes_no_majority():
    """Two new instances must not claim the contract of an old one.

    A second instance starts beside the old one and is cut off at once, and a third one
    starts on its side.  The two never learned that the old one is the only voter in its
    own view.
    """
    cluster = LimiterSimulation(FAST, seed=1)
    cluster.start('a')
    cluster.run(3_000)
    cluster.start('b')
    cluster.run(100)
    cluster.cut({'b': 1})
    cluster.run(300, lambda: assert_within_contract(cluster))

    cluster.start('c', side=1)
    cluster.run(5_000, lambda: assert_within_contract(cluster))

    assert cluster.units('a') >= 30
