"""Tests of which instances callers are told to use."""

from __future__ import annotations

import pytest

from savorychute.gateway.discovery.discovery_question import DiscoveryQuestion
from savorychute.gateway.discovery.instance_directory import InstanceDirectory
from savorychute.member_address import MemberAddress

NEAR = DiscoveryQuestion('kerala', 'kochi')


def make_address(name, domain='kochi', incarnation=1):
    return MemberAddress(name, incarnation, 'kerala', domain, '10.0.0.1', 8000, 7000)


@pytest.fixture
def directory():
    return InstanceDirectory(make_address('k0'))


def choose(directory, now_ms, own_ready=True, suspects=(), question=NEAR):
    members = directory.choose(question, own_ready, suspects, now_ms)
    return [member.instance for member in members]


def test_only_instances_that_spoke_lately_are_told(directory):
    """A caller that connects to nobody.

    An instance was killed; the store still lists it, and gossip repeats the list.
    """
    directory.hear(make_address('k1'), True, 1_000)
    directory.hear(make_address('k2'), True, 4_000)

    assert choose(directory, 5_500) == ['k2', 'k0']


def test_instances_of_other_domains_fill_up(directory):
    directory.hear(make_address('t1', 'thrissur'), True, 1_000)
    assert choose(directory, 1_100) == ['k0', 't1']
    directory.hear(make_address('k1'), True, 1_000)

    assert choose(directory, 1_100) == ['k1', 'k0']


def test_leaving_and_suspected_instances_are_left_out(directory):
    directory.hear(make_address('k1'), False, 1_000)
    directory.hear(make_address('k2'), True, 1_000)

    assert choose(directory, 1_100, own_ready=False, suspects=['k2']) == []


def test_older_run_does_not_replace_a_newer_one(directory):
    directory.hear(make_address('k1', incarnation=2), True, 1_000)
    directory.hear(make_address('k1', incarnation=1), False, 1_001)

    assert choose(directory, 1_100) == ['k1', 'k0']
