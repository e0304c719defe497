"""Tests of the number of endpoints that are ordered, and of the times of orders."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.gateway.configuration.service import Service
from savorychute.gateway.configuration.service_scaling import ServiceScaling
from savorychute.gateway.duties.duty_order import DutyOutcome
from savorychute.gateway.duties.server_duty import (
    FAILED_ORDER_RETRY_MS,
    MISSING_GRACE_MS,
    REORDER_INTERVAL_MS,
    STABLE_VIEW_MS,
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
TICK_MS = 100
ENDPOINT_START_MS = 4_000


class FakeRecords:
    """Holds the desired fleets in memory."""

    def __init__(self):
        self.fleets = {}

    def desired_fleet(self, service):
        return self.fleets.get(service)


class FakePlatform:
    """Starts and removes endpoints as ordered; new ones take time to serve."""

    def __init__(self, lasting):
        self.now_ms = START_MS
        self.unavailable_until_ms = 0
        self.desired = {(domain, False): lasting for domain in DOMAINS}
        # For each endpoint, the time from which it serves.
        self.current = {key: [0] * number for key, number in self.desired.items()}
        self.orders = []

    def apply_order(self, order):
        key = (order.failure_domain, order.reclaimable)
        self.orders.append((self.now_ms, order))
        if order.reclaimable and self.now_ms < self.unavailable_until_ms:
            return DutyOutcome.UNAVAILABLE
        other = self.current.get((order.failure_domain, not order.reclaimable), [])
        number = min(order.number, SCALING.most - len(other))
        endpoints = self.current.setdefault(key, [])
        while len(endpoints) < number:
            endpoints.append(self.now_ms + ENDPOINT_START_MS)
        del endpoints[number:]
        return DutyOutcome.ACCEPTED

    def reclaim(self, domain, unavailable_ms):
        self.current[domain, True] = []
        self.unavailable_until_ms = self.now_ms + unavailable_ms

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
            for (domain, reclaimable), endpoints in self.current.items()
            for number, serves_from_ms in enumerate(endpoints)
            if serves_from_ms <= self.now_ms
        ]

    def serving_count(self):
        return len(self.entries())


class DutyHolder:
    """One instance's duty, which uses the desired fleets in the given records."""

    def __init__(self, platform, records, policy='reclaimable'):
        self.platform = platform
        self.records = records
        self.duty = ServerDuty(SERVER_POLICIES.get(policy), records)

    def run_for(self, duration_ms, services=(POOL, DESK)):
        """Let time pass; return the lowest number of serving endpoints."""
        fewest = self.platform.serving_count()
        for _ in range(duration_ms // TICK_MS):
            self.platform.now_ms += TICK_MS
            now_ms = self.platform.now_ms
            self.duty.observe(services, self.platform.entries(), now_ms)
            for fleet in self.duty.decide_fleets(services, now_ms):
                self.records.fleets[fleet.service] = fleet
            for order in self.duty.due_orders(services, now_ms):
                outcome = self.platform.apply_order(order)
                self.duty.order_ended(order, outcome, now_ms)
            fewest = min(fewest, self.platform.serving_count())
        return fewest


@pytest.fixture
def platform():
    return FakePlatform(lasting=10)


@pytest.fixture
def records():
    return FakeRecords()


@pytest.fixture
def holder(platform, records):
    return DutyHolder(platform, records)


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
    price_share=st.floats(0.01, 1.5),
    prices=st.lists(st.floats(0.5, 2.0), min_size=6, max_size=6),
)
def test_preferred_fleet_invariants(lasting, least, most, price_share, prices):
    """A new fleet is cheaper and degrades no service.

    For any current fleet, the limits of each failure domain hold, the endpoints that
    remain after the loss of a domain's reclaimable ones are no fewer than the current
    ones, and the price is lower.
    """
    current = fleet_of(*(DomainFleet(number) for number in lasting))
    price_by_domain = {
        domain: price
        for (domain, _), price in zip(current.domains, prices, strict=False)
    }
    scaling = ServiceScaling(least, most, price_share, tuple(price_by_domain.items()))

    desired = prefer_reclaimable(current, scaling)

    if desired is None:
        return
    assert all(least <= fleet.total <= most for _, fleet in desired.domains)
    assert all(fleet.lasting >= 1 for _, fleet in desired.domains)
    assert desired.remaining_after_reclaim() >= current.total
    assert desired.price(price_by_domain, price_share) < current.price(
        price_by_domain, price_share
    )


def test_no_fleet_is_desired_where_no_endpoint_is_reclaimable():
    scaling = SCALING._replace(reclaimable_price=None)

    assert prefer_reclaimable(fleet_of(DomainFleet(9), DomainFleet(9)), scaling) is None


def test_lasting_endpoints_are_released_once_reclaimable_ones_serve(platform, holder):
    """Guards against the release of endpoints before their replacements have started.

    The limit of a failure domain leaves no headroom for both kinds at once, so they are
    replaced in steps.
    """
    fewest = holder.run_for(30_000)

    assert fewest >= 30
    assert {key: len(endpoints) for key, endpoints in platform.current.items()} == {
        (domain, reclaimable): 14 if reclaimable else 1
        for domain in DOMAINS
        for reclaimable in (False, True)
    }
    assert len(platform.orders) == 12


def test_nothing_is_ordered_before_the_current_fleet_is_known(platform, holder):
    """Guards against a decision based on the first few entries.

    Endpoints and instances start together, and entries arrive one by one.
    """
    all_endpoints = dict(platform.current)
    for number in range(3):
        platform.current = {
            (domain, False): endpoints[: 2 * number + 1]
            for (domain, _), endpoints in all_endpoints.items()
        }
        holder.run_for(STABLE_VIEW_MS - TICK_MS)
    assert not platform.orders
    platform.current = all_endpoints
    holder.run_for(30_000)

    assert holder.records.fleets['pool'].remaining_after_reclaim() >= 30


def test_loss_of_a_domain_leaves_the_original_endpoint_count(platform, holder):
    """A failure domain loses all reclaimable endpoints.

    None can be ordered for ten seconds.
    """
    holder.run_for(30_000)
    platform.reclaim('thrissur', 10_000)
    orders = len(platform.orders)

    assert holder.run_for(9_000) >= 30
    assert len(platform.orders) - orders <= 9_000 // FAILED_ORDER_RETRY_MS
    holder.run_for(8_000)
    assert platform.serving_count() == 45


def test_endpoints_that_crash_and_return_are_not_replaced(platform, holder):
    """Guards against an order at each crash that is reversed after each return."""
    holder.run_for(30_000)
    orders = len(platform.orders)
    for _ in range(4):
        kept = platform.current['kochi', False]
        platform.current['kochi', False] = []
        holder.run_for(MISSING_GRACE_MS - 1_000)
        platform.current['kochi', False] = kept
        holder.run_for(3_000)

    assert len(platform.orders) == orders


def test_permanently_lost_endpoint_is_replaced(platform, holder):
    holder.run_for(30_000)
    platform.current['kochi', False] = []
    holder.run_for(MISSING_GRACE_MS + ENDPOINT_START_MS + 1_000)

    assert len(platform.current['kochi', False]) == 1


def test_successor_uses_the_decided_fleet(platform, records, holder):
    """Guards against a fleet that grows with each new holder.

    The second holder finds more endpoints than the operators had set up, and must not
    treat that number as the required one.
    """
    holder.run_for(5_000)
    for _ in range(3):
        DutyHolder(platform, records).run_for(8_000)

    assert platform.serving_count() == 45
    assert records.fleets['pool'].total == 45


def test_successor_without_a_decided_fleet_orders_nothing(platform, holder):
    holder.run_for(30_000)
    orders = len(platform.orders)
    DutyHolder(platform, FakeRecords()).run_for(20_000)

    assert len(platform.orders) == orders


def test_order_is_not_repeated_while_endpoints_start(platform, holder):
    holder.run_for(STABLE_VIEW_MS + ENDPOINT_START_MS)

    assert ENDPOINT_START_MS < REORDER_INTERVAL_MS
    assert len(platform.orders) == len(DOMAINS)


def test_changed_limits_stop_orders(platform, holder):
    narrow = POOL._replace(scaling=SCALING._replace(most=12))
    holder.run_for(STABLE_VIEW_MS + 500)
    orders = len(platform.orders)
    platform.reclaim('kochi', 0)
    holder.run_for(20_000, services=(narrow, DESK))

    assert len(platform.orders) == orders


def test_policy_as_found_orders_nothing(platform, records):
    DutyHolder(platform, records, 'as-found').run_for(30_000)

    assert not platform.orders


@pytest.mark.parametrize('seed', range(10))
def test_fleet_converges_whatever_the_platform_does(seed):
    """Reclaims, shortages and changes of the holder at any time.

    The fleet neither oscillates nor loses capacity.
    """
    rng = random.Random(seed)
    platform, records = FakePlatform(lasting=10), FakeRecords()
    holder = DutyHolder(platform, records)
    for _ in range(12):
        holder.run_for(rng.randrange(500, 9_000))
        event = rng.randrange(3)
        if event == 0:
            platform.reclaim(rng.choice(DOMAINS), rng.randrange(10_000))
        elif event == 1:
            holder = DutyHolder(platform, records)
    holder.run_for(40_000)

    assert platform.serving_count() in (45, 30)
    assert platform.serving_count() == 45 or not records.fleets


def test_second_step_follows_as_soon_as_the_limit_allows(platform, holder):
    """Guards against steps with long pauses, during which requests arrive."""
    holder.run_for(STABLE_VIEW_MS + 2 * ENDPOINT_START_MS + 1_000)

    assert platform.serving_count() == 45
