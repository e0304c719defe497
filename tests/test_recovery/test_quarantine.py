"""Tests of the quarantine."""

from __future__ import annotations

import random

import pytest
from quarantine_peers import Peers

from savorychute.recovery import PoisonVerdict, Quarantine, QuarantineSettings

ENDPOINTS = ('e0', 'e1', 'e2', 'e3')


@pytest.fixture
def peers(make_view):
    return Peers(('i0', 'i1', 'i2'), make_view)


def test_request_with_two_crashes_is_quarantined_everywhere(peers):
    """A request crashes an endpoint, is retried, and crashes another.

    Its caller sends it again under a new key to a second instance.
    """
    peers['i0'].record_crash('poison', 'a1', 'e0', 0)
    peers.tick(0)
    endpoint = peers['i0'].preferred_endpoint('poison', ENDPOINTS, 10)
    assert endpoint != 'e0'
    peers['i0'].record_start('poison', 'a2', endpoint, 10)
    peers['i0'].record_crash('poison', 'a2', endpoint, 50)
    peers.tick(50)
    for name in peers.names:
        assert peers[name].verdict('poison', 60) is PoisonVerdict.HELD
    peers.tick(400)
    for name in peers.names:
        assert peers[name].is_quarantined('poison', 400)


def test_innocent_requests_that_shared_the_endpoint_run_again(peers):
    """Three requests run on an endpoint that one of them crashes.

    All three are retried.  Only the one whose retry crashes its endpoint too
    is quarantined.
    """
    for number, fingerprint in enumerate(('poison', 'good1', 'good2')):
        peers['i0'].record_crash(fingerprint, f'a{number}', 'e0', 0)
    peers.tick(0)
    endpoints_of = {}
    for fingerprint in ('poison', 'good1', 'good2'):
        endpoints_of[fingerprint] = peers['i0'].preferred_endpoint(
            fingerprint, ENDPOINTS, 10
        )
        peers['i0'].record_start(
            fingerprint, f'b-{fingerprint}', endpoints_of[fingerprint], 10
        )
    assert sorted(endpoints_of.values()) == ['e1', 'e2', 'e3']

    peers['i0'].record_crash('poison', 'b-poison', endpoints_of['poison'], 50)
    peers['i0'].record_end('good1', 'b-good1', True, 60)
    peers['i0'].record_end('good2', 'b-good2', True, 60)
    peers.tick(60)
    peers.tick(500)

    assert peers['i1'].is_quarantined('poison', 500)
    assert peers['i1'].verdict('good1', 500) is PoisonVerdict.CLEAR
    assert peers['i0'].verdict('good2', 500) is PoisonVerdict.CLEAR


def test_suspects_of_two_instances_with_the_same_crashes_run_one_at_a_time(peers):
    """An innocent request at another instance shares both crashes.

    Neither is quarantined at first: each runs alone, on the two endpoints that
    have crashed already, so that no third endpoint is lost.
    """
    for name, fingerprint in (('i0', 'poison'), ('i1', 'good')):
        peers[name].record_crash(fingerprint, 'a1', 'e0', 0)
        peers[name].record_crash(fingerprint, 'a2', 'e1', 50)
    peers.tick(50)
    peers.tick(400)
    verdicts = {name: peers['i2'].verdict(name, 400) for name in ('poison', 'good')}
    assert verdicts == {'good': PoisonVerdict.SUSPECT, 'poison': PoisonVerdict.HELD}

    assert peers['i1'].preferred_endpoint('good', ENDPOINTS, 400) in ('e0', 'e1')
    peers['i1'].record_end('good', 'a3', True, 900)
    peers.tick(900)
    assert peers['i2'].verdict('good', 900) is PoisonVerdict.CLEAR
    endpoint = peers['i0'].preferred_endpoint('poison', ENDPOINTS, 900)
    assert endpoint in ('e0', 'e1')
    peers['i0'].record_crash('poison', 'a4', endpoint, 950)
    peers.tick(950)
    peers.tick(1_300)
    assert peers['i2'].is_quarantined('poison', 1_300)


def test_instance_that_loses_its_network_suspects_no_request(peers):
    """Connections to all endpoints break at once, twice.

    The cause is the instance's own network; its requests are innocent.
    """
    for start_ms in (0, 5_000):
        for number, endpoint in enumerate(ENDPOINTS):
            fingerprint = f'request-{number + (start_ms > 0)}'
            peers['i0'].record_crash(
                fingerprint, f'a{start_ms}{number}', endpoint, start_ms
            )
        peers.tick(start_ms)
    peers.tick(6_000)
    for number in range(5):
        assert peers['i1'].verdict(f'request-{number}', 6_000) is PoisonVerdict.CLEAR


def test_lost_update_is_repaired(peers):
    peers['i0'].tick(peers.views['i0'], 0)
    peers['i0'].record_crash('poison', 'a1', 'e0', 0)
    peers['i0'].tick(peers.views['i0'], 0)
    assert peers['i1'].crashed_endpoints('poison', 0) == ()

    for now_ms in range(1_000, 30_000, 1_000):
        peers.tick(now_ms)

    assert peers['i1'].crashed_endpoints('poison', 30_000) == ('e0',)
    assert peers['i2'].crashed_endpoints('poison', 30_000) == ('e0',)


def test_operator_releases_a_request(peers):
    peers['i0'].record_crash('poison', 'a1', 'e0', 0)
    peers['i0'].record_crash('poison', 'a2', 'e1', 0)
    peers.tick(0)
    peers.tick(400)
    assert peers['i1'].is_quarantined('poison', 400)
    peers['i1'].release('poison', 500)
    peers.tick(500)
    assert peers['i0'].verdict('poison', 500) is PoisonVerdict.CLEAR


def test_quarantine_ends_and_number_of_records_is_limited(make_view):
    settings = QuarantineSettings(fingerprints=10, suspicion_lifetime_ms=1_000)
    quarantine = Quarantine(settings, 'i0', random.Random(1))
    view = make_view('i0', ('i0',))
    for number in range(100):
        quarantine.record_crash(f'f{number}', f'a{number}', 'e0', 0)
    assert len(quarantine) == 10
    quarantine.tick(view, 1_001)
    assert len(quarantine) == 0
