"""Tests of credits between instances."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from savorychute.credits.credit_report import CreditReport
from savorychute.inputs import LoadReported

CAPACITY = 72


def assert_never_overcommitted(cluster):
    assert all(total <= 8 for total in cluster.committed_by_endpoint().values())


def test_only_instance_may_use_everything_at_once(make_cluster):
    cluster = make_cluster('a')

    assert cluster.available('a') == CAPACITY
    assert len(cluster.start_requests('a', 0)) == CAPACITY
    assert cluster.available('a') == 0


def test_equal_demand_gets_equal_parts(make_cluster):
    cluster = make_cluster()
    cluster.run(200)
    for name in cluster.ledgers:
        cluster.demand[name] = {1: 50}
    cluster.run(300, lambda: assert_never_overcommitted(cluster))

    levels = [cluster.entitlement(name) for name in cluster.ledgers]
    assert min(levels) >= 7
    assert max(levels) <= 11


def test_higher_tier_reclaims_unused_credit_of_lower_ones(make_cluster):
    """A burst of a higher tier must not wait for the grants of others to expire.

    Seven instances hold unused credit for a burst of a lower tier when a burst of the
    top tier starts on the eighth.
    """
    cluster = make_cluster()
    cluster.run(200)
    for name in cluster.ledgers:
        cluster.demand[name] = {2: 50}
    cluster.run(1_000)
    requester = next(name for name in cluster.ledgers if name != cluster.home())
    cluster.demand[requester] = {0: 60, 2: 50}

    cluster.run(250, lambda: assert_never_overcommitted(cluster))

    assert cluster.entitlement(requester) >= 50


def test_work_in_progress_counts_until_it_ends(make_cluster):
    """Reclaimed credit that is in use must not be granted again at once.

    Otherwise the endpoint would run both the old work and the new.
    """
    cluster = make_cluster()
    cluster.run(200)
    for name in cluster.ledgers:
        cluster.demand[name] = {2: 50}
    cluster.run(1_000)
    attempts = {name: cluster.start_requests(name, 2) for name in cluster.ledgers}
    requester = next(name for name in cluster.ledgers if name != cluster.home())
    cluster.demand[requester] = {0: 60, 2: 50}
    cluster.run(5_000, lambda: assert_never_overcommitted(cluster))
    assert cluster.available(requester) == 0

    for name in cluster.ledgers:
        if name != requester:
            cluster.release_all(name, attempts[name])
    cluster.run(1_200, lambda: assert_never_overcommitted(cluster))

    assert cluster.available(requester) >= 35


def test_lower_tier_on_another_instance_still_gets_starts(make_cluster):
    """Strict priority of tiers alone would never grant an instance anything.

    One instance's top-tier demand permanently exceeds the capacity, while a patient
    request of the lowest tier waits on another instance.
    """
    cluster = make_cluster('abc')
    cluster.run(200)
    home = cluster.home()
    busy, patient = (name for name in cluster.ledgers if name != home)
    cluster.demand[busy] = {0: 200}
    cluster.demand[patient] = {3: 1}

    cluster.run(3_000)

    assert cluster.entitlement(patient) >= 1
    assert cluster.entitlement(busy) >= 60


def test_credits_of_a_dead_home_last_until_the_next_home_takes_over(make_cluster):
    """The home of an endpoint crashes while all instances are in use.

    Requests continue to start under the current credits.  The next home learns of these
    from reports, and grants the rest when the unreported grants have expired.
    """
    cluster = make_cluster()
    cluster.run(200)
    for name in cluster.ledgers:
        cluster.demand[name] = {1: 50}
    cluster.run(1_500)
    home = cluster.home()
    cluster.stop(home)
    cluster.run(1_000)
    assert all(cluster.available(name) > 0 for name in cluster.ledgers)

    cluster.set_all_alive()
    cluster.run(100, lambda: assert_never_overcommitted(cluster))
    assert cluster.home() != home
    cluster.run(6_000, lambda: assert_never_overcommitted(cluster))

    assert sum(cluster.entitlement(name) for name in cluster.ledgers) >= 70


def test_views_that_disagree_overcommit_at_most_by_the_capacity(make_cluster):
    """When views disagree on the home, no capacity may be granted more than twice.

    Half of the instances consider one member the home and half another, as happens for
    some seconds after a false suspicion.  Each home grants to its half.
    """
    cluster = make_cluster()
    cluster.run(200)
    for name in cluster.ledgers:
        cluster.demand[name] = {1: 50}
    cluster.run(1_000)
    home = cluster.home()
    with_other_view = [name for name in cluster.ledgers if name != home][:4]
    for name in with_other_view:
        cluster.set_alive(name, [other for other in cluster.ledgers if other != home])

    worst = 0.0

    def measure():
        nonlocal worst
        worst = max(worst, cluster.overcommit_share())

    cluster.run(10_000, measure)
    assert worst <= 1.0

    cluster.set_all_alive()
    cluster.run(6_000)
    assert cluster.overcommit_share() == 0


def test_isolated_instances_share_the_capacity(make_cluster):
    """A network fault isolates every instance, so that each is its own home.

    If each used the whole capacity, eight times the capacity would be in use.
    """
    cluster = make_cluster()
    cluster.run(200)
    for name in cluster.ledgers:
        cluster.demand[name] = {1: 50}
    cluster.run(1_000)
    for name in cluster.ledgers:
        cluster.set_alive(name, name)

    cluster.run(10_000)

    assert all(cluster.entitlement(name) > 0 for name in cluster.ledgers)
    assert cluster.overcommit_share() <= 0.2


def test_unreachable_home_leaves_a_small_allowance(make_cluster):
    """An instance must still serve when its home is alive but unreachable.

    Its credits have expired.  All instances in this state together may use no more than
    the survival share.
    """
    cluster = make_cluster()
    cluster.run(200)
    home = cluster.home()
    for name in cluster.ledgers:
        cluster.demand[name] = {1: 50}
        cluster.cut.add((home, name))

    cluster.run(10_000)

    others = [name for name in cluster.ledgers if name != home]
    assert all(cluster.available(name) > 0 for name in others)
    assert sum(cluster.available(name) for name in others) <= 36


def test_leaving_instance_returns_unused_credit(make_cluster):
    cluster = make_cluster()
    cluster.run(200)
    for name in cluster.ledgers:
        cluster.demand[name] = {1: 9}
    cluster.run(1_000)
    leaving = next(name for name in cluster.ledgers if name != cluster.home())
    running = cluster.start_requests(leaving, 1, limit=3)
    cluster.set_alive(leaving, [name for name in cluster.ledgers if name != leaving])
    ledger = cluster.ledgers[leaving]

    cluster._send(leaving, ledger.leave(cluster.views[leaving], cluster.now_ms))
    cluster.demand[leaving] = {}
    cluster.run(2_500)

    assert len(running) == 3
    assert cluster.available(leaving) == 0
    assert sum(cluster.entitlement(n) for n in cluster.ledgers if n != leaving) >= 60


def test_outstanding_tokens_are_limited(make_cluster):
    cluster = make_cluster('a', endpoints=1)
    cluster.endpoints['engine-0']['outstanding_tokens'] = 1_000
    ledger = cluster.ledgers['a']
    ledger.set_endpoints(cluster.endpoints)

    assert ledger.acquire('engine-0', 'x', 0, 5_000, 0)
    assert not ledger.acquire('engine-0', 'y', 0, 1, 0)
    ledger.release('x', 0)
    assert ledger.acquire('engine-0', 'y', 0, 600, 0)
    assert not ledger.acquire('engine-0', 'z', 0, 600, 0)


def test_draining_endpoint_gets_no_new_work_and_stays_counted(make_cluster):
    cluster = make_cluster('a', endpoints=2)
    attempts = cluster.start_requests('a', 0, limit=3)
    cluster.endpoints['engine-0']['state'] = 'draining'
    ledger = cluster.ledgers['a']

    ledger.set_endpoints(cluster.endpoints)

    assert ledger.candidates('diagnosis') == ('engine-1',)
    assert ledger.available('engine-0', 0) == 0
    cluster.release_all('a', attempts)
    assert ledger.available('engine-1', 0) == 8


def test_subset_is_limited_and_spread_over_domains(make_cluster):
    cluster = make_cluster('ab', endpoints=60)
    cluster.run(100)

    subset = cluster.ledgers['a'].candidates('diagnosis')

    assert len(subset) == 16
    domains = [cluster.endpoints[name]['failure_domain'] for name in subset]
    assert min(domains.count(domain) for domain in set(domains)) >= 3
    assert len(set(domains)) == 3
    assert set(subset) != set(cluster.ledgers['b'].candidates('diagnosis'))


def test_load_reports_are_sent_with_grants(make_cluster):
    cluster = make_cluster()
    cluster.run(200)
    home = cluster.home()
    other = next(name for name in cluster.ledgers if name != home)
    report = LoadReported(
        'engine-3', 40, 5, 2, 0.5, 5.5, ('diagnosis',), 'active', 9, (), (), False
    )
    cluster.ledgers[home].record_load(report)
    cluster.demand[other] = {0: 3}

    cluster.run(1_100)

    (relayed,) = {r.endpoint: r for r in cluster.ledgers[other].pop_reports()}.values()
    assert relayed.endpoint == 'engine-3'
    assert (relayed.running, relayed.waiting) == (5, 2)
    assert relayed.age_ms >= 40


steps = st.lists(
    st.tuples(
        st.sampled_from(['demand', 'start', 'end', 'lose', 'mend']),
        st.sampled_from('abcd'),
        st.integers(0, 3),
        st.integers(0, 30),
    ),
    min_size=5,
    max_size=25,
)


@settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(steps=steps)
def test_one_home_never_promises_more_than_the_capacity(make_cluster, steps):
    """While all instances agree on the home, the capacity must never be exceeded.

    Messages get lost, demand changes, and attempts start and end in any order.  If more
    than the capacity were granted, endpoints would queue work regardless of tiers.
    """
    cluster = make_cluster('abcd', endpoints=3)
    cluster.run(200)
    running = {name: [] for name in 'abcd'}
    for step, name, tier, amount in steps:
        if step == 'demand':
            cluster.demand[name] = {tier: amount}
        elif step == 'start':
            running[name] += cluster.start_requests(name, tier, limit=amount)
        elif step == 'end':
            cluster.release_all(name, running[name][:amount])
            del running[name][:amount]
        elif step == 'lose':
            cluster.cut.add(
                (name, cluster.home()) if amount % 2 else (cluster.home(), name)
            )
        else:
            cluster.cut.clear()
        cluster.run(50 + 30 * amount)
        assert_never_overcommitted(cluster)


def test_restarted_home_learns_of_current_credits_at_once(make_cluster):
    """The home crashes and restarts under its name before its loss is detected.

    Members see no new home to which they would report, and those that use nothing would
    never report; the home would grant nothing to a burst for the duration of a grant.
    """
    cluster = make_cluster()
    cluster.run(200)
    home = cluster.home()
    users = [name for name in cluster.ledgers if name != home][:3]
    for name in users:
        cluster.demand[name] = {1: 10}
    cluster.run(1_500)
    cluster.stop(home)
    cluster.start(home)
    cluster.demand[users[0]] = {0: 60}
    cluster.run(60)

    cluster.run(1_500, lambda: assert_never_overcommitted(cluster))

    assert cluster.entitlement(users[0]) >= 45


def test_resumed_attempts_without_credit_leave_the_credits_of_their_instance(
    make_cluster,
):
    """Requests wait although their instance holds credits for them.

    The instance resumes streams of one that crashed.  If they counted under its own
    credits, a request of a higher tier would wait until they end.
    """
    cluster = make_cluster('abc', endpoints=1)
    cluster.run(200)
    home = cluster.home()
    holder = next(name for name in cluster.ledgers if name != home)
    cluster.demand[holder] = {0: 2}
    cluster.run(1_500)
    before = cluster.available(holder)
    assert before

    resume_streams(cluster, holder, 5)

    assert cluster.available(holder) == before


def test_leaving_instance_keeps_no_credit_for_attempts_without_one(make_cluster):
    cluster = make_cluster('abc', endpoints=1)
    cluster.run(200)
    leaving = next(name for name in cluster.ledgers if name != cluster.home())
    cluster.demand[leaving] = {1: 2}
    cluster.run(1_500)
    assert cluster.available(leaving)
    resume_streams(cluster, leaving, 4)

    cluster.ledgers[leaving].leave(cluster.views[leaving], cluster.now_ms)

    assert cluster.available(leaving) == 0


def resume_streams(cluster, name, count):
    attempts = [f'{name}-resumed-{number}' for number in range(count)]
    for attempt in attempts:
        cluster.ledgers[name].record_resume('engine-0', attempt, 1, cluster.now_ms)
    return attempts


def list_reports(cluster, name):
    return [
        message
        for _, sender, _, message in cluster.sent
        if sender == name and isinstance(message, CreditReport)
    ]


def test_home_is_told_at_once_of_attempts_without_credit(make_cluster):
    cluster = make_cluster('abc', endpoints=1)
    cluster.run(200)
    holder = next(name for name in cluster.ledgers if name != cluster.home())
    cluster.demand[holder] = {1: 2}
    cluster.run(3_000)
    reports = len(list_reports(cluster, holder))
    while len(list_reports(cluster, holder)) == reports:
        cluster.run(1)

    resume_streams(cluster, holder, 2)
    cluster.run(100)

    newest = list_reports(cluster, holder)[-1]
    assert [use.without_credit for use in newest.groups[0].uses] == [2]


@pytest.mark.parametrize('survivor', [0, 1, 2])
@pytest.mark.parametrize('lost', ['holder', 'home'])
@pytest.mark.parametrize('detection_ms', [100, 2_000])
def test_capacity_is_not_exceeded_when_streams_of_a_lost_instance_resume(
    make_cluster, detection_ms, lost, survivor
):
    """Endpoints would queue work regardless of tiers.

    An instance crashes; its streams are resumed by others without credit.  When its
    loss is detected its credits are free, but the slots of these streams are not.
    """
    cluster = make_cluster('abcd', endpoints=1)
    cluster.run(200)
    cluster.demand = {name: {1: 8} for name in cluster.ledgers}
    cluster.run(1_500)
    home = cluster.home()
    victim = (
        home
        if lost == 'home'
        else next(name for name in cluster.ledgers if name != home)
    )
    streams = len(cluster.start_requests(victim, 1))
    assert streams
    cluster.stop(victim)
    resuming = sorted(cluster.ledgers)[survivor]
    resumed = resume_streams(cluster, resuming, streams)
    cluster.run(detection_ms, lambda: assert_never_overcommitted(cluster))
    cluster.set_all_alive()

    cluster.run(8_000, lambda: assert_never_overcommitted(cluster))
    cluster.release_all(resuming, resumed)
    cluster.run(8_000, lambda: assert_never_overcommitted(cluster))

    assert sum(cluster.entitlement(name) for name in cluster.ledgers) >= 7
