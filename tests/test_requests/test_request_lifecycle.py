"""Tests of the lifecycle of a request with random transitions."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.errors import IllegalTransitionError, RequestError
from savorychute.ran import Ran
from savorychute.requests import (
    ContinuationHandle,
    RequestLifecycle,
    RequestState,
    decode_handle,
)
from savorychute.requests.request_lifecycle import MAX_EARLY_EVENTS, MAX_LATE_EVENTS

STEPS = st.one_of(
    st.tuples(st.just('move'), st.sampled_from(RequestState)),
    st.tuples(st.just('prove'), st.integers(0, 3)),
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.lists(STEPS, max_size=30), st.booleans())
def test_not_run_is_never_reported_while_an_attempt_is_in_doubt(steps, resumes):
    """'Not run' was reported although an endpoint may have run the request.

    Attempts are sent, refused with proof, resumed and abandoned in any order.
    """
    lifecycle = RequestLifecycle('r', 0, resumes)
    in_doubt = set()
    for at_ms, (kind, value) in enumerate(steps):
        if kind == 'prove':
            lifecycle.mark_not_started(str(value))
            in_doubt.discard(str(value))
            continue
        before = lifecycle.state
        try:
            lifecycle.transition(value, at_ms, 'step', str(at_ms % 4))
        except IllegalTransitionError:
            assert lifecycle.state is before
            continue
        if value is RequestState.SENDING:
            in_doubt.add(str(at_ms % 4))
        if value is RequestState.NOT_RUN:
            assert not in_doubt
            assert not resumes
    if lifecycle.ran is Ran.NOT_RUN:
        assert not in_doubt
        assert not resumes


def test_interrupted_stream_stays_possibly_run(streaming_lifecycle):
    streaming_lifecycle.transition(RequestState.QUEUED, 5, 'engine crashed')
    assert streaming_lifecycle.ran is Ran.UNKNOWN
    with pytest.raises(IllegalTransitionError):
        streaming_lifecycle.transition(RequestState.NOT_RUN, 6, 'deadline')
    streaming_lifecycle.transition(RequestState.UNKNOWN, 6, 'deadline')
    assert streaming_lifecycle.is_final


@pytest.fixture
def streaming_lifecycle():
    lifecycle = RequestLifecycle('r', 0)
    path = ('queued', 'granted', 'sending', 'running', 'streaming')
    for at_ms, state in enumerate(path):
        lifecycle.transition(RequestState(state), at_ms, 'step', 'a1')
    return lifecycle


def test_history_retains_earliest_and_latest_events():
    lifecycle = RequestLifecycle('r', 0)
    rounds = 100
    for at_ms in range(rounds):
        lifecycle.transition(RequestState.QUEUED, at_ms, 'again')
        lifecycle.transition(RequestState.GRANTED, at_ms, 'credit')
    assert len(lifecycle.history) == MAX_EARLY_EVENTS + MAX_LATE_EVENTS
    assert lifecycle.dropped_events == 2 * rounds - MAX_EARLY_EVENTS - MAX_LATE_EVENTS
    assert lifecycle.history[0].at_ms == 0
    assert lifecycle.history[-1].at_ms == rounds - 1


@given(st.text(max_size=40), st.text(max_size=40), st.integers(0, 2**31))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_encoded_handle_is_decoded_to_the_same_handle(endpoint, stream_id, offset):
    handle = ContinuationHandle(endpoint, stream_id, offset, 'organisation')
    assert decode_handle(handle.encode()) == handle


@pytest.mark.parametrize('text', ['', 'h1.', 'h1.AAAA', 'h2.x', 'h1.' + 'A' * 2000])
def test_malformed_handle_is_refused(text):
    with pytest.raises(RequestError):
        decode_handle(text)


def test_request_with_undecided_key_cannot_become_not_run():
    """Guards against reporting 'not run' while the request runs.

    The caller retries with the same key; the retry waits for the outcome of the first
    request until its own deadline passes.
    """
    lifecycle = RequestLifecycle('r', 0, has_key=True)
    assert lifecycle.ran is Ran.UNKNOWN
    with pytest.raises(IllegalTransitionError):
        lifecycle.transition(RequestState.NOT_RUN, 1, 'deadline')
    lifecycle.mark_key_decided()
    lifecycle.transition(RequestState.NOT_RUN, 1, 'shed')
