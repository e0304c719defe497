"""Tests of how many endpoints are ordered, and when."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.gateway.configuration.service import Service
from savorychute.gateway.configuration.service_scaling import ServiceScaling
from savorychute.gateway.duties.duty_order import DutyOutcome
from savorychute.gateway.duties.server_duty import (
    AGAIN_MS,
    MISSING_MS,
    RETRY_MS,
    STABLE_MS,
    ServerDuty,
)
from savorychute.gateway.duties.server_fleet import DomainFleet, ServerFleet
from savorychute.gateway.duties.server_policies import (
    SERVER_POLICIES,
    prefer_reclaimable,
)
from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
from savorychute.http.client_pool import ServerAddress

DOMAINS = ('kochi', 'thrissur', 'kozhikode')
SCALING = ServiceScaling(1, 20, 0.18, tuple((each, 1.0) for each in DOMAINS))
POOL = Service('pool', runs_models=True, scaling=SCALING)
DESK = Service('desk', runs_models=False)
START_MS = 10_000
STEP_MS = 100
BEGIN_MS = 4_000


class Shelf:
    """Where what is wanted lies."""

    def __init__(self):
        self.fleets = {}

    def wanted_fleet(self, service):
        return self.fleets.get(service)


class Platform:
    """Starts and takes away endpoints as it is told; they need time to serve."""

    def __init__(self, lasting):
        self.now_ms = START_MS
        self.dry_until_ms = 0
        self.desired = {(domain, False): lasting for domain in DOMAINS}
        # Endpoints by the time from which on they serve.
        self.standing = {key: [0] * number for key, number in self.desired.items()}
        self.orders = []

    def take(self, order):
        key = (order.failure_domain, order.reclaimable)
        self.orders.append((self.now_ms, order))
        if order.reclaimable and self.now_ms < self.dry_until_ms:
            return DutyOutcome.UNAVAILABLE
        other = self.standing.get((order.failure_domain, not order.reclaimable), [])
        number = min(order.number, SCALING.most - len(other))
        have = self.standing.setdefault(key, [])
        while len(have) < number:
            have.append(self.now_ms + BEGIN_MS)
        del have[number:]
        return DutyOutcome.ACCEPTED

    def reclaim(self, domain, dry_ms):
        self.standing[domain, True] = []
        self.dry_until_ms = self.now_ms + dry_ms

    def entries(self):
        return [
            EndpointEntry(
                f'{domain}-{reclaimable}-{number}',
                'pool',
                ServerAddress('10.0.0.1', 80),
                domain,
                64,
                draining=False,
                sequence=1,
                reclaimable=reclaimable,
            )
            for (domain, reclaimable), have in self.standing.items()
            for number, from_ms in enumerate(have)
            if from_ms <= self.now_ms
        ]

    def serving(self):
        return len(self.entries())


class Holder:
    """One instance's duty, which goes on with what lies on the shelf."""

    def __init__(self, platform, shelf, policy='reclaimable'):
        self.platform = platform
        self.shelf = shelf
        self.duty = ServerDuty(SERVER_POLICIES.get(policy), shelf)

    def play(self, duration_ms, services=(POOL, DESK)):
        """Let time pass; return the fewest endpoints that served."""
        fewest = self.platform.serving()
        for _ in range(duration_ms // STEP_MS):
            self.platform.now_ms += STEP_MS
            now_ms = self.platform.now_ms
            self.duty.observe(services, self.platform.entries(), now_ms)
            for fleet in self.duty.undecided(services, now_ms):
                self.shelf.fleets[fleet.service] = fleet
            for order in self.duty.orders(services, now_ms):
                outcome = self.platform.take(order)
                self.duty.order_ended(order, outcome, now_ms)
            fewest = min(fewest, self.platform.serving())
        return fewest


@pytest.fixture
def platform():
    return Platform(lasting=10)


@pytest.fixture
def shelf():
    return Shelf()


@pytest.fixture
def holder(platform, shelf):
    return Holder(platform, shelf)


def fleet_of(*domains):
    return ServerFleet(
        'pool',
        tuple((f'domain-{number}', each) for number, each in enumerate(domains)),
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    lasting=st.lists(st.integers(0, 40), min_size=1, max_size=6),
    least=st.integers(0, 3),
    most=st.integers(1, 60),
    part=st.floats(0.01, 1.5),
    prices=st.lists(st.floats(0.5, 2.0), min_size=6, max_size=6),
)
def test_law_what_is_wanted(lasting, least, most, part, prices):
    """A saving that callers pay for.

    Whatever stands: the bounds of each failure domain hold, what is left after the loss of a
    domain's reclaimable endpoints is no less than what stood, and it costs less.
    """
    standing = fleet_of(*(DomainFleet(number) for number in lasting))
    priced = {
        domain: price
        for (domain, _), price in zip(standing.domains, prices, strict=False)
    }
    scaling = ServiceScaling(least, most, part, tuple(priced.items()))

    wanted = prefer_reclaimable(standing, scaling)

    if wanted is None:
        return
    assert all(least <= fleet.total <= most for _, fleet in wanted.domains)
    assert all(fleet.lasting >= 1 for _, fleet in wanted.domains)
    assert wanted.after_reclaim() >= standing.total
    assert wanted.price(priced, part) < standing.price(priced, part)


def test_nothing_is_wanted_where_none_can_be_reclaimed():
    scaling = SCALING._replace(reclaimable_price=None)

    assert prefer_reclaimable(fleet_of(DomainFleet(9), DomainFleet(9)), scaling) is None


def test_lasting_endpoints_are_given_back_when_all_others_serve(platform, holder):
    """A service that lost its engines before the new ones had started.

    The bound of a failure domain has no room for both kinds, so they change in steps.
    """
    fewest = holder.play(30_000)

    assert fewest >= 30
    assert {key: len(have) for key, have in platform.standing.items()} == {
        (domain, reclaimable): 14 if reclaimable else 1
        for domain in DOMAINS
        for reclaimable in (False, True)
    }
    assert len(platform.orders) == 12


def test_nothing_is_ordered_before_what_stands_is_known(platform, holder):
    """A holder that took the first entries for all there are.

    Endpoints and instances start together, and entries come one by one.
    """
    every = dict(platform.standing)
    for number in range(3):
        platform.standing = {
            (domain, False): have[: 2 * number + 1]
            for (domain, _), have in every.items()
        }
        holder.play(STABLE_MS - STEP_MS)
    assert not platform.orders
    platform.standing = every
    holder.play(30_000)

    assert holder.shelf.fleets['pool'].after_reclaim() >= 30


def test_loss_of_a_domain_leaves_as_many_as_stood(platform, holder):
    """All reclaimable endpoints of a failure domain taken, and none to be had for ten
    seconds.
    """
    holder.play(30_000)
    platform.reclaim('thrissur', 10_000)
    orders = len(platform.orders)

    assert holder.play(9_000) >= 30
    assert len(platform.orders) - orders <= 9_000 // RETRY_MS
    holder.play(8_000)
    assert platform.serving() == 45


def test_endpoints_that_crash_and_come_back_are_not_replaced(platform, holder):
    """A swing: an order for each crash, and one less for each return."""
    holder.play(30_000)
    orders = len(platform.orders)
    for _ in range(4):
        kept = platform.standing['kochi', False]
        platform.standing['kochi', False] = []
        holder.play(MISSING_MS - 1_000)
        platform.standing['kochi', False] = kept
        holder.play(3_000)

    assert len(platform.orders) == orders


def test_endpoint_that_is_lost_for_good_is_replaced(platform, holder):
    holder.play(30_000)
    platform.standing['kochi', False] = []
    holder.play(MISSING_MS + BEGIN_MS + 1_000)

    assert len(platform.standing['kochi', False]) == 1


def test_successor_goes_on_with_what_was_decided(platform, shelf, holder):
    """A fleet that grew with each holder.

    The second holder finds more endpoints than the operators had set up, and must not take
    these for what is needed.
    """
    holder.play(5_000)
    for _ in range(3):
        Holder(platform, shelf).play(8_000)

    assert platform.serving() == 45
    assert shelf.fleets['pool'].total == 45


def test_successor_that_finds_nothing_decided_orders_nothing(platform, holder):
    holder.play(30_000)
    orders = len(platform.orders)
    Holder(platform, Shelf()).play(20_000)

    assert len(platform.orders) == orders


def test_order_is_not_repeated_while_endpoints_start(platform, holder):
    holder.play(STABLE_MS + BEGIN_MS)

    assert BEGIN_MS < AGAIN_MS
    assert len(platform.orders) == len(DOMAINS)


def test_bounds_that_were_changed_since_stop_orders(platform, holder):
    narrow = POOL._replace(scaling=SCALING._replace(most=12))
    holder.play(STABLE_MS + 500)
    orders = len(platform.orders)
    platform.reclaim('kochi', 0)
    holder.play(20_000, services=(narrow, DESK))

    assert len(platform.orders) == orders


def test_policy_that_leaves_things_as_found(platform, shelf):
    Holder(platform, shelf, 'as-found').play(30_000)

    assert not platform.orders


@pytest.mark.parametrize('seed', range(10))
def test_orders_end_where_they_should_whatever_the_platform_does(seed):
    """Reclaims and dry spells at any moment, holders that change: no swing, no loss."""
    rng = random.Random(seed)
    platform, shelf = Platform(lasting=10), Shelf()
    holder = Holder(platform, shelf)
    for _ in range(12):
        holder.play(rng.randrange(500, 9_000))
        event = rng.randrange(3)
        if event == 0:
            platform.reclaim(rng.choice(DOMAINS), rng.randrange(10_000))
        elif event == 1:
            holder = Holder(platform, shelf)
    holder.play(40_000)

    assert platform.serving() in (45, 30)
    assert platform.serving() == 45 or not shelf.fleets


def test_second_step_follows_as_soon_as_there_is_room(platform, holder):
    """Steps that took as long as a crash, so that callers came in between."""
    holder.play(STABLE_MS + 2 * BEGIN_MS + 1_000)

    assert platform.serving() == 45
