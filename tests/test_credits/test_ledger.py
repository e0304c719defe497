"""Tests of credits between instances."""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from savorychute.inputs import LoadReported

CAPACITY = 72


def assert_never_overcommitted(rig):
    assert all(total <= 8 for total in rig.promised().values())


def test_only_instance_may_use_everything_at_once(make_rig):
    rig = make_rig('a')

    assert rig.available('a') == CAPACITY
    assert len(rig.fill('a', 0)) == CAPACITY
    assert rig.available('a') == 0


def test_equal_demand_gets_equal_parts(make_rig):
    rig = make_rig()
    rig.run(200)
    for name in rig.ledgers:
        rig.demand[name] = {1: 50}
    rig.run(300, lambda: assert_never_overcommitted(rig))

    levels = [rig.level(name) for name in rig.ledgers]
    assert min(levels) >= 7
    assert max(levels) <= 11


def test_higher_tier_takes_back_unspent_credit_of_lower_ones(make_rig):
    """Seven instances hold credit for a lower tier's burst and have not spent
    it.  A pump-site diagnosis burst at the eighth must not wait for their
    grants to end.
    """
    rig = make_rig()
    rig.run(200)
    for name in rig.ledgers:
        rig.demand[name] = {2: 50}
    rig.run(1_000)
    asker = next(name for name in rig.ledgers if name != rig.home())
    rig.demand[asker] = {0: 60, 2: 50}

    rig.run(250, lambda: assert_never_overcommitted(rig))

    assert rig.level(asker) >= 50


def test_work_in_progress_counts_until_it_ends(make_rig):
    """Credit is taken back from an instance that has spent it.  Were it given
    on at once, the endpoint would run the old work and the new.
    """
    rig = make_rig()
    rig.run(200)
    for name in rig.ledgers:
        rig.demand[name] = {2: 50}
    rig.run(1_000)
    attempts = {name: rig.fill(name, 2) for name in rig.ledgers}
    asker = next(name for name in rig.ledgers if name != rig.home())
    rig.demand[asker] = {0: 60, 2: 50}
    rig.run(5_000, lambda: assert_never_overcommitted(rig))
    assert rig.available(asker) == 0

    for name in rig.ledgers:
        if name != asker:
            rig.end(name, attempts[name])
    rig.run(1_200, lambda: assert_never_overcommitted(rig))

    assert rig.available(asker) >= 35


def test_lower_tier_elsewhere_still_gets_starts(make_rig):
    """One instance's top-tier demand exceeds the capacity for good, and at
    another one the patient summaries of an auditor wait.  Strict tiers alone
    would never grant that instance anything.
    """
    rig = make_rig('abc')
    rig.run(200)
    home = rig.home()
    busy, patient = (name for name in rig.ledgers if name != home)
    rig.demand[busy] = {0: 200}
    rig.demand[patient] = {3: 1}

    rig.run(3_000)

    assert rig.level(patient) >= 1
    assert rig.level(busy) >= 60


def test_dead_homes_credits_last_and_the_next_home_takes_over(make_rig):
    """The home of an endpoint crashes while all instances are at work.
    Requests go on starting under the credits in hand; the next home learns
    from reports what is out, and gives out the rest when the unreported
    grants have ended.
    """
    rig = make_rig()
    rig.run(200)
    for name in rig.ledgers:
        rig.demand[name] = {1: 50}
    rig.run(1_500)
    home = rig.home()
    rig.stop(home)
    rig.run(1_000)
    assert all(rig.available(name) > 0 for name in rig.ledgers)

    rig.see_all()
    rig.run(100, lambda: assert_never_overcommitted(rig))
    assert rig.home() != home
    rig.run(6_000, lambda: assert_never_overcommitted(rig))

    assert sum(rig.level(name) for name in rig.ledgers) >= 70


def test_views_that_disagree_overcommit_at_most_once_more(make_rig):
    """Half of the instances take one member for the home and half another, as
    for some seconds after a false suspicion.  Each home grants to its half;
    no endpoint may be promised more than twice.
    """
    rig = make_rig()
    rig.run(200)
    for name in rig.ledgers:
        rig.demand[name] = {1: 50}
    rig.run(1_000)
    home = rig.home()
    deceived = [name for name in rig.ledgers if name != home][:4]
    for name in deceived:
        rig.see(name, [other for other in rig.ledgers if other != home])

    worst = 0.0

    def measure():
        nonlocal worst
        worst = max(worst, rig.overcommit())

    rig.run(10_000, measure)
    assert worst <= 1.0

    rig.see_all()
    rig.run(6_000)
    assert rig.overcommit() == 0


def test_isolated_instances_share_the_capacity(make_rig):
    """A network fault leaves every instance alone.  Each is its own home then;
    if each took the whole capacity, eight times of it would be in use.
    """
    rig = make_rig()
    rig.run(200)
    for name in rig.ledgers:
        rig.demand[name] = {1: 50}
    rig.run(1_000)
    for name in rig.ledgers:
        rig.see(name, name)

    rig.run(10_000)

    assert all(rig.level(name) > 0 for name in rig.ledgers)
    assert rig.overcommit() <= 0.2


def test_unreachable_home_leaves_a_small_allowance(make_rig):
    """An instance sees its home alive but hears nothing from it.  When its
    credits have ended it must still serve, and all in that state together no
    more than the survival share.
    """
    rig = make_rig()
    rig.run(200)
    home = rig.home()
    for name in rig.ledgers:
        rig.demand[name] = {1: 50}
        rig.cut.add((home, name))

    rig.run(10_000)

    others = [name for name in rig.ledgers if name != home]
    assert all(rig.available(name) > 0 for name in others)
    assert sum(rig.available(name) for name in others) <= 36


def test_leaving_instance_returns_what_it_does_not_use(make_rig):
    rig = make_rig()
    rig.run(200)
    for name in rig.ledgers:
        rig.demand[name] = {1: 9}
    rig.run(1_000)
    leaver = next(name for name in rig.ledgers if name != rig.home())
    running = rig.fill(leaver, 1, limit=3)
    rig.see(leaver, [name for name in rig.ledgers if name != leaver])
    ledger = rig.ledgers[leaver]

    rig._post(leaver, ledger.leave(rig.views[leaver], rig.now_ms))
    rig.demand[leaver] = {}
    rig.run(2_500)

    assert len(running) == 3
    assert rig.available(leaver) == 0
    assert sum(rig.level(n) for n in rig.ledgers if n != leaver) >= 60


def test_tokens_outstanding_are_bounded(make_rig):
    rig = make_rig('a', endpoints=1)
    rig.endpoints['engine-0']['outstanding_tokens'] = 1_000
    ledger = rig.ledgers['a']
    ledger.set_endpoints(rig.endpoints)

    assert ledger.take('engine-0', 'x', 0, 5_000, 0)
    assert not ledger.take('engine-0', 'y', 0, 1, 0)
    ledger.give_back('x', 0)
    assert ledger.take('engine-0', 'y', 0, 600, 0)
    assert not ledger.take('engine-0', 'z', 0, 600, 0)


def test_draining_endpoint_gets_no_new_work_and_stays_counted(make_rig):
    rig = make_rig('a', endpoints=2)
    attempts = rig.fill('a', 0, limit=3)
    rig.endpoints['engine-0']['state'] = 'draining'
    ledger = rig.ledgers['a']

    ledger.set_endpoints(rig.endpoints)

    assert ledger.candidates('diagnosis') == ('engine-1',)
    assert ledger.available('engine-0', 0) == 0
    rig.end('a', attempts)
    assert ledger.available('engine-1', 0) == 8


def test_subset_is_bounded_and_spread_over_domains(make_rig):
    rig = make_rig('ab', endpoints=60)
    rig.run(100)

    subset = rig.ledgers['a'].candidates('diagnosis')

    assert len(subset) == 16
    domains = [rig.endpoints[name]['failure_domain'] for name in subset]
    assert min(domains.count(domain) for domain in set(domains)) >= 3
    assert len(set(domains)) == 3
    assert set(subset) != set(rig.ledgers['b'].candidates('diagnosis'))


def test_load_reports_travel_with_grants(make_rig):
    rig = make_rig()
    rig.run(200)
    home = rig.home()
    other = next(name for name in rig.ledgers if name != home)
    report = LoadReported(
        'engine-3', 40, 5, 2, 0.5, 5.5, ('diagnosis',), 'active', 9, (), (), False
    )
    rig.ledgers[home].observe(report)
    rig.demand[other] = {0: 3}

    rig.run(1_100)

    (passed_on,) = {r.endpoint: r for r in rig.ledgers[other].take_reports()}.values()
    assert passed_on.endpoint == 'engine-3'
    assert (passed_on.running, passed_on.waiting) == (5, 2)
    assert passed_on.age_ms >= 40


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
def test_one_home_never_promises_more_than_there_is(make_rig, steps):
    """Messages get lost, demand comes and goes, attempts start and end in any
    order.  While all agree on the home, what all may run together must never
    exceed the capacity, or endpoints queue work that the tiers do not rule.
    """
    rig = make_rig('abcd', endpoints=3)
    rig.run(200)
    running = {name: [] for name in 'abcd'}
    for step, name, tier, amount in steps:
        if step == 'demand':
            rig.demand[name] = {tier: amount}
        elif step == 'start':
            running[name] += rig.fill(name, tier, limit=amount)
        elif step == 'end':
            rig.end(name, running[name][:amount])
            del running[name][:amount]
        elif step == 'lose':
            rig.cut.add((name, rig.home()) if amount % 2 else (rig.home(), name))
        else:
            rig.cut.clear()
        rig.run(50 + 30 * amount)
        assert_never_overcommitted(rig)


def test_home_that_starts_anew_learns_what_is_out_at_once(make_rig):
    """The home crashes and is back under its name before anybody sees it gone.
    Nobody reports to a new home then, and those that use nothing would never
    report; for the life of a grant the home would give nothing to a burst.
    """
    rig = make_rig()
    rig.run(200)
    home = rig.home()
    users = [name for name in rig.ledgers if name != home][:3]
    for name in users:
        rig.demand[name] = {1: 10}
    rig.run(1_500)
    rig.stop(home)
    rig.start(home)
    rig.demand[users[0]] = {0: 60}
    rig.run(60)

    rig.run(1_500, lambda: assert_never_overcommitted(rig))

    assert rig.level(users[0]) >= 45
