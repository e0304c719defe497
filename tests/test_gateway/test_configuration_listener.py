"""Tests of when a read confirms the configuration."""

from __future__ import annotations

from types import SimpleNamespace

from gateway_fakes import START_MS, make_deployment, make_telemetry

from savorychute.clock import ManualClock
from savorychute.gateway.configuration.configuration_state import ConfigurationState
from savorychute.gateway.store.configuration_listener import ConfigurationListener
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.topic_delta import TopicDelta
from savorychute.gateway.store.topic_snapshot import TopicSnapshot

KEY_TRUST_MS = 4_500


def make_listener():
    state = ConfigurationState(KEY_TRUST_MS, 2_000)
    listener = ConfigurationListener(
        state,
        SimpleNamespace(failing_topics=set()),
        lambda _key, value: make_deployment(int(value)),
        make_telemetry(ManualClock(START_MS)),
        lambda _deployment: None,
    )
    return state, listener


def apply_reads(*reads):
    """Return the state after some reads that started at the same time."""
    state, listener = make_listener()
    for read in reads:
        if isinstance(read, TopicSnapshot):
            listener.on_snapshot(read, START_MS)
        else:
            listener.on_delta(read, START_MS)
    return state


def test_version_followed_by_unread_records_is_not_confirmed():
    """Guards against a revoked key that is still accepted.

    A read returns one of three large versions, the last of which revokes a key. The
    first one must not count as the newest version as of that read.
    """
    state = apply_reads(TopicDelta((KeyedRecord(1, 'config', b'2'),), 2, 4))

    assert state.version == 2
    assert not state.trusts_keys(START_MS)


def test_last_version_of_the_topic_is_confirmed():
    state = apply_reads(TopicDelta((KeyedRecord(1, 'config', b'2'),), 2, 2))

    assert state.trusts_keys(START_MS + KEY_TRUST_MS)


def make_snapshot(version):
    return TopicSnapshot((KeyedRecord(version, 'config', b'%d' % version),), 9)


def test_older_copy_of_the_store_confirms_nothing():
    """Guards against a revoked key that is accepted while an older copy is read.

    The store is restored from a copy with version 2 while version 3 is applied. A
    version 4 that revoked the key may have existed, which the operator has not written
    again yet.
    """
    state, listener = make_listener()
    listener.on_snapshot(make_snapshot(3), START_MS)
    later_ms = START_MS + KEY_TRUST_MS

    listener.on_snapshot(make_snapshot(2), later_ms)
    listener.on_delta(TopicDelta((), 9, 9), later_ms)

    assert state.confirmed_ms == START_MS
    listener.on_delta(TopicDelta((KeyedRecord(9, 'config', b'3'),), 10, 10), later_ms)
    assert state.confirmed_ms == later_ms


def test_applied_version_is_kept_when_the_store_returns_an_older_one():
    state = apply_reads(make_snapshot(3), make_snapshot(2))

    assert state.version == 3
