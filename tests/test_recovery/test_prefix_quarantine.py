"""Tests of the quarantine of prompts that begin with what crashes endpoints."""

from __future__ import annotations

from itertools import count

import pytest
from quarantine_peers import Peers

from savorychute.crashes.verdict import CERTAIN_DELAY_MS
from savorychute.recovery import PoisonVerdict

START_MS = 1_000
# Longer than an instance doubts what it knows of successes.
SETTLE_MS = 11_000
POOL = 'small'
SYSTEM, BAD, SOUND = 1, 2, 3


class Prompts:
    """Requests with their own names, whose prompts share prefixes."""

    def __init__(self, peers):
        self.peers = peers
        self.now_ms = START_MS
        self._names = count()
        for name in peers.names:
            self.succeed(name, (SYSTEM, SOUND))
        self.advance(SETTLE_MS)

    def advance(self, duration_ms):
        self.now_ms += duration_ms
        self.peers.tick(self.now_ms)

    def register(self, name, prefixes):
        """Let a new request arrive at an instance; return its fingerprint."""
        fingerprint = f'request-{next(self._names)}'
        self.peers[name].register(fingerprint, POOL, prefixes)
        return fingerprint

    def crash(self, name, endpoint, prefixes):
        fingerprint = self.register(name, prefixes)
        self.peers[name].record_crash(fingerprint, fingerprint, endpoint, self.now_ms)
        self.advance(1_500)

    def succeed(self, name, prefixes):
        fingerprint = self.register(name, prefixes)
        self.peers[name].record_end(fingerprint, fingerprint, True, self.now_ms)

    def verdict(self, name, prefixes):
        """Return the verdict on a new request."""
        fingerprint = self.register(name, prefixes)
        return self.peers[name].verdict(fingerprint, self.now_ms)

    def verdicts(self, prefixes):
        return {self.verdict(name, prefixes) for name in self.peers.names}


@pytest.fixture
def prompts(make_view):
    return Prompts(Peers(('i0', 'i1', 'i2'), make_view))


def convict(prompts):
    for number, name in enumerate(prompts.peers.names):
        prompts.crash(name, f'e{number}', (SYSTEM, BAD, 100 + number))
    assert prompts.verdicts((SYSTEM, BAD, 200)) == {PoisonVerdict.QUARANTINED}


def test_prompts_with_a_common_prefix_are_quarantined_everywhere(prompts):
    """Guards against prompts, no two alike, that crash one endpoint after another.

    Each instance sees one crash; the prompts share the prefix up to what crashes
    endpoints, and the system prompt with sound ones.
    """
    convict(prompts)
    assert prompts.verdicts((SYSTEM, SOUND)) == {PoisonVerdict.CLEAR}
    assert prompts.verdicts((SYSTEM,)) == {PoisonVerdict.CLEAR}


def test_prefix_that_succeeds_between_crashes_is_not_quarantined(prompts):
    """Guards against a popular system prompt that meets crashes of other causes."""
    for number in range(8):
        prompts.crash('i0', f'e{number % 4}', (SYSTEM, SOUND, 100 + number))
        prompts.succeed('i1', (SYSTEM, SOUND))
        prompts.advance(100)
    assert prompts.verdicts((SYSTEM, SOUND)) == {PoisonVerdict.CLEAR}


def test_one_crash_that_several_instances_see_counts_once(prompts):
    """Guards against a verdict after a single crash."""
    for name in prompts.peers.names:
        fingerprint = prompts.register(name, (SYSTEM, BAD))
        prompts.peers[name].record_crash(fingerprint, fingerprint, 'e0', prompts.now_ms)
    prompts.advance(1_000)
    assert prompts.verdicts((SYSTEM, BAD)) == {PoisonVerdict.CLEAR}


def test_one_instance_tries_a_quarantined_prefix_after_an_hour(prompts):
    """Guards against a prefix that is refused for ever, and against many trials."""
    convict(prompts)
    prompts.advance(CERTAIN_DELAY_MS)
    verdicts = [
        prompts.verdict(name, (SYSTEM, BAD, 300 + number))
        for name in prompts.peers.names
        for number in range(3)
    ]
    assert verdicts.count(PoisonVerdict.CLEAR) == 1


def test_trial_that_succeeds_lifts_the_quarantine_everywhere(prompts):
    convict(prompts)
    prompts.advance(CERTAIN_DELAY_MS)
    for name in prompts.peers.names:
        fingerprint = prompts.register(name, (SYSTEM, BAD, 400))
        quarantine = prompts.peers[name]
        if quarantine.verdict(fingerprint, prompts.now_ms) is PoisonVerdict.CLEAR:
            quarantine.record_end(fingerprint, fingerprint, True, prompts.now_ms)
    prompts.advance(100)
    assert prompts.verdicts((SYSTEM, BAD, 500)) == {PoisonVerdict.CLEAR}


def test_operator_lifts_a_quarantined_prefix_everywhere(prompts):
    convict(prompts)
    fingerprint = prompts.register('i0', (SYSTEM, BAD, 600))
    prompts.peers['i0'].release(fingerprint, prompts.now_ms)
    prompts.advance(100)
    assert prompts.verdicts((SYSTEM, BAD, 700)) == {PoisonVerdict.CLEAR}
