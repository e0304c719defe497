from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from benches.capacity_roles.member_mesh import make_address
from savorychute.membership import (
    DiscoverySettings,
    HomeTable,
    MemberView,
    answer_discovery,
    choose_homes,
)

MEMBERS = [make_address(number) for number in range(30)]
KEYS = [f'engine-{number}' for number in range(1000)]


def test_departure_moves_only_the_keys_of_the_departed_member():
    before = {key: choose_homes(key, MEMBERS, 1)[0] for key in KEYS}
    after = {key: choose_homes(key, MEMBERS[1:], 1)[0] for key in KEYS}
    moved = {key for key in KEYS if before[key] != after[key]}
    assert moved == {key for key in KEYS if before[key] == MEMBERS[0]}
    assert len(moved) / len(KEYS) < 2 / len(MEMBERS)


def test_homes_are_spread_over_failure_domains():
    for key in KEYS[:50]:
        homes = choose_homes(key, MEMBERS, 3)
        assert len({home.failure_domain for home in homes}) == 3


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.sets(st.integers(0, 11)), min_size=1, max_size=8))
def test_home_table_equals_a_choice_from_scratch(histories):
    """Two instances must choose the same home whatever members they saw before.

    The table recomputes only what a change affects, so after any history of
    members it must equal a choice among the current members.
    """
    table = HomeTable()
    regions = {f'engine-{n}': f'region-{n % 4}' for n in range(40)}
    table.set_keys(regions)
    for numbers in histories:
        alive = tuple(make_address(number, 3) for number in sorted(numbers))
        table.set_view(MemberView(make_address(0), alive))
        for key, region in regions.items():
            near = [member for member in alive if member.region == region]
            homes = choose_homes(key, near or alive, 1)
            assert table.home_of(key) == (homes[0] if homes else None)


def test_discovery_answer_is_local_spread_and_jittered():
    alive = tuple(make_address(number, 2) for number in range(40))
    view = MemberView(alive[0], alive, suspects=frozenset({'entry-0002'}))
    answers = [
        answer_discovery('organisation-1', view, DiscoverySettings(), Random(seed))
        for seed in range(20)
    ]
    seats = {address.instance for address in answers[0].addresses}
    for answer in answers:
        near = [a for a in answer.addresses if a.region == alive[0].region]
        assert answer.addresses[: len(near)] == tuple(near)
        assert len({a.failure_domain for a in near}) == 3
        assert {a.instance for a in answer.addresses} == seats
    assert 'entry-0002' not in seats
    assert len({answer.lifetime_ms for answer in answers}) > 10


def test_busy_instance_is_skipped_in_proportion_to_its_load():
    """Two large organisations share one instance, which is overloaded.

    When their callers ask again, the instance must be skipped just often enough
    to bring its load back to the mean.
    """
    alive = tuple(make_address(number) for number in range(30))
    view = MemberView(alive[0], alive)
    settings = DiscoverySettings(far_seats=0)
    home = choose_homes('organisation-1', alive, 1)[0].instance
    loads = {address.instance: 10 for address in alive}
    loads[home] = 40
    answers = [
        answer_discovery('organisation-1', view, settings, Random(seed), 3, loads)
        for seed in range(400)
    ]
    named_count = sum(
        home in {a.instance for a in answer.addresses} for answer in answers
    )
    assert 60 <= named_count <= 160
    assert all(len(answer.addresses) == 3 for answer in answers)
