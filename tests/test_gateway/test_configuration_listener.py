"""Tests of what a read of the configuration proves."""

from __future__ import annotations

from types import SimpleNamespace

from gateway_fakes import START_MS, make_deployment, make_telemetry

from savorychute.clock import ManualClock
from savorychute.gateway.configuration.configuration_state import ConfigurationState
from savorychute.gateway.store.configuration_listener import ConfigurationListener
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.topic_delta import TopicDelta

TRUST_MS = 4_500


def listen(*deltas):
    """Return the state after some reads that began at the same time."""
    state = ConfigurationState(TRUST_MS, 2_000)
    listener = ConfigurationListener(
        state,
        SimpleNamespace(failing_topics=set()),
        lambda _key, value: make_deployment(int(value)),
        make_telemetry(ManualClock(START_MS)),
        lambda _deployment: None,
    )
    for delta in deltas:
        listener.topic_changed(delta, START_MS)
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
