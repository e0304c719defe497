"""Which state of a request may follow which."""

from __future__ import annotations

from savorychute.requests.request_state import RequestState

_ENDS = frozenset({RequestState.NOT_RUN, RequestState.UNKNOWN, RequestState.CANCELLED})

TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.RECEIVED: _ENDS
    | {RequestState.QUEUED, RequestState.GRANTED, RequestState.ANSWERED},
    RequestState.QUEUED: _ENDS | {RequestState.GRANTED},
    RequestState.GRANTED: _ENDS | {RequestState.QUEUED, RequestState.SENDING},
    RequestState.SENDING: _ENDS | {RequestState.QUEUED, RequestState.RUNNING},
    RequestState.RUNNING: _ENDS
    | {RequestState.QUEUED, RequestState.STREAMING, RequestState.ANSWERED},
    RequestState.STREAMING: _ENDS | {RequestState.QUEUED, RequestState.ANSWERED},
    RequestState.ANSWERED: frozenset(),
    RequestState.NOT_RUN: frozenset(),
    RequestState.UNKNOWN: frozenset(),
    RequestState.CANCELLED: frozenset(),
}
"""The whole machine.  ``RECEIVED`` to ``ANSWERED`` is a stored answer replayed
for a key; ``STREAMING`` to ``QUEUED`` waits for a resume of the stream."""

FINAL_STATES = frozenset(state for state, after in TRANSITIONS.items() if not after)
