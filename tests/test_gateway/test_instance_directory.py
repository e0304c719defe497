"""Tests of choosing the instances that callers should use."""

from __future__ import annotations

import pytest

from savorychute.gateway.discovery.discovery_query import DiscoveryQuery
from savorychute.gateway.discovery.instance_directory import InstanceDirectory
from savorychute.member_address import MemberAddress

QUERY = DiscoveryQuery('kerala', 'kochi')


def make_address(name, domain='kochi', incarnation=1):
    return MemberAddress(name, incarnation, 'kerala', domain, '10.0.0.1', 8000, 7000)


@pytest.fixture
def directory():
    return InstanceDirectory(make_address('k0'))


def choose(directory, now_ms, own_ready=True, excluded=(), query=QUERY):
    members = directory.choose(query, own_ready, excluded, now_ms)
    return [member.instance for member in members]


def test_only_instances_that_reported_recently_are_chosen(directory):
    """Guards against a caller that receives the address of a killed instance.

    The store still lists the instance, and gossip spreads that list.
    """
    directory.record_reported_instance(make_address('k1'), True, 1_000)
    directory.record_reported_instance(make_address('k2'), True, 4_000)

    assert choose(directory, 5_500) == ['k2', 'k0']


def test_instances_of_other_domains_are_added(directory):
    directory.record_reported_instance(make_address('t1', 'thrissur'), True, 1_000)
    assert choose(directory, 1_100) == ['k0', 't1']
    directory.record_reported_instance(make_address('k1'), True, 1_000)

    assert choose(directory, 1_100) == ['k1', 'k0']


def test_unready_and_excluded_instances_are_left_out(directory):
    directory.record_reported_instance(make_address('k1'), False, 1_000)
    directory.record_reported_instance(make_address('k2'), True, 1_000)

    assert choose(directory, 1_100, own_ready=False, excluded=['k2']) == []


def test_older_incarnation_does_not_replace_a_newer_one(directory):
    directory.record_reported_instance(make_address('k1', incarnation=2), True, 1_000)
    directory.record_reported_instance(make_address('k1', incarnation=1), False, 1_001)

    assert choose(directory, 1_100) == ['k1', 'k0']
