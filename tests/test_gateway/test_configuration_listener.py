"""Tests of what a read of the configuration proves."""

from __future__ import annotations

from types import SimpleNamespace

from gateway_fakes import START_MS, make_deployment, make_telemetry

from savorychute.clock import ManualClock
from savorychute.gateway.configuration.configuration_state import ConfigurationState
from savorychute.gateway.store.configuration_listener import ConfigurationListener
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.topic_delta import TopicDelta
from savorychute.gateway.store.topic_snapshot import TopicSnapshot

TRUST_MS = 4_500


def make_listener():
    state = ConfigurationState(TRUST_MS, 2_000)
    listener = ConfigurationListener(
        state,
        SimpleNamespace(failing_topics=set()),
        lambda _key, value: make_deployment(int(value)),
        make_telemetry(ManualClock(START_MS)),
        lambda _deployment: None,
    )
    return state, listener


def listen(*reads):
    """Return the state after some reads that began at the same time."""
    state, listener = make_listener()
    for read in reads:
        if isinstance(read, TopicSnapshot):
            listener.topic_listed(read, START_MS)
        else:
            listener.topic_changed(read, START_MS)
    return state


def test_version_with_others_behind_it_is_not_confirmed():
    """A key that was taken back and went on being accepted.

    A read brings one of three large versions.  The last one takes a key back, and the
    instance took the first for the newest as of that read.
    """
    state = listen(TopicDelta((KeyedRecord(1, 'config', b'2'),), 2, 4))

    assert state.version == 2
    assert not state.trusts_keys(START_MS)


def test_version_that_a_read_shows_to_be_the_last_is_confirmed():
    state = listen(TopicDelta((KeyedRecord(1, 'config', b'2'),), 2, 2))

    assert state.trusts_keys(START_MS + TRUST_MS)


def make_snapshot(version):
    return TopicSnapshot((KeyedRecord(version, 'config', b'%d' % version),), 9)


def test_older_copy_of_the_store_confirms_nothing():
    """A key that the lost version took back, accepted for as long as the copy was read.

    The store comes back from a copy with version 2 while 3 is in force.  There may have been
    a version 4, which the operator has not written again yet.
    """
    state, listener = make_listener()
    listener.topic_listed(make_snapshot(3), START_MS)
    later_ms = START_MS + TRUST_MS

    listener.topic_listed(make_snapshot(2), later_ms)
    listener.topic_changed(TopicDelta((), 9, 9), later_ms)

    assert state.confirmed_ms == START_MS
    listener.topic_changed(
        TopicDelta((KeyedRecord(9, 'config', b'3'),), 10, 10), later_ms
    )
    assert state.confirmed_ms == later_ms


def test_version_in_force_stays_when_the_store_shows_an_older_one():
    state = listen(make_snapshot(3), make_snapshot(2))

    assert state.version == 3
