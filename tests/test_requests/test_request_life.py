"""The life of a request, model-checked by random walks."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.errors import IllegalTransitionError, RequestError
from savorychute.ran import Ran
from savorychute.requests import (
    ContinuationHandle,
    RequestLife,
    RequestState,
    decode_handle,
)
from savorychute.requests.request_life import EARLY_EVENTS, LATE_EVENTS

STEPS = st.one_of(
    st.tuples(st.just('move'), st.sampled_from(RequestState)),
    st.tuples(st.just('prove'), st.integers(0, 3)),
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.lists(STEPS, max_size=30), st.booleans())
def test_not_run_is_never_claimed_in_doubt(steps, resumes):
    """A caller is told 'not run' although an endpoint may have run it.

    Attempts are sent, refused with proof, resumed and given up in any order.
    """
    life = RequestLife('r', 0, resumes)
    doubted = set()
    for at_ms, (kind, value) in enumerate(steps):
        if kind == 'prove':
            life.prove_not_started(str(value))
            doubted.discard(str(value))
            continue
        before = life.state
        try:
            life.move(value, at_ms, 'step', str(at_ms % 4))
        except IllegalTransitionError:
            assert life.state is before
            continue
        if value is RequestState.SENDING:
            doubted.add(str(at_ms % 4))
        if value is RequestState.NOT_RUN:
            assert not doubted
            assert not resumes
    if life.ran is Ran.NOT_RUN:
        assert not doubted
        assert not resumes


def test_interrupted_stream_stays_possibly_run(life_of_stream):
    life_of_stream.move(RequestState.QUEUED, 5, 'engine crashed')
    assert life_of_stream.ran is Ran.UNKNOWN
    with pytest.raises(IllegalTransitionError):
        life_of_stream.move(RequestState.NOT_RUN, 6, 'deadline')
    life_of_stream.move(RequestState.UNKNOWN, 6, 'deadline')
    assert life_of_stream.is_final


@pytest.fixture
def life_of_stream():
    life = RequestLife('r', 0)
    path = ('queued', 'granted', 'sending', 'running', 'streaming')
    for at_ms, state in enumerate(path):
        life.move(RequestState(state), at_ms, 'step', 'a1')
    return life


def test_history_keeps_both_ends():
    life = RequestLife('r', 0)
    rounds = 100
    for at_ms in range(rounds):
        life.move(RequestState.QUEUED, at_ms, 'again')
        life.move(RequestState.GRANTED, at_ms, 'credit')
    assert len(life.history) == EARLY_EVENTS + LATE_EVENTS
    assert life.dropped_events == 2 * rounds - EARLY_EVENTS - LATE_EVENTS
    assert life.history[0].at_ms == 0
    assert life.history[-1].at_ms == rounds - 1


@given(st.text(max_size=40), st.text(max_size=40), st.integers(0, 2**31))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_handle_survives_its_encoding(endpoint, stream_id, offset):
    handle = ContinuationHandle(endpoint, stream_id, offset, 'organisation')
    assert decode_handle(handle.encode()) == handle


@pytest.mark.parametrize('text', ['', 'h1.', 'h1.AAAA', 'h2.x', 'h1.' + 'A' * 2000])
def test_malformed_handle_is_refused(text):
    with pytest.raises(RequestError):
        decode_handle(text)


def test_undecided_key_cannot_be_called_not_run():
    """A caller is told 'not run' while its request runs.

    It sends its request again under the same key; the copy waits for the first
    one's outcome, and its own deadline passes.
    """
    life = RequestLife('r', 0, keyed=True)
    assert life.ran is Ran.UNKNOWN
    with pytest.raises(IllegalTransitionError):
        life.move(RequestState.NOT_RUN, 1, 'deadline')
    life.decide_key()
    life.move(RequestState.NOT_RUN, 1, 'shed')
