"""The allowed transitions between the states of a request."""

from __future__ import annotations

from savorychute.requests.request_state import RequestState

_UNSUCCESSFUL_ENDS = frozenset(
    {RequestState.NOT_RUN, RequestState.UNKNOWN, RequestState.CANCELLED}
)

TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.RECEIVED: _UNSUCCESSFUL_ENDS
    | {RequestState.QUEUED, RequestState.GRANTED, RequestState.ANSWERED},
    RequestState.QUEUED: _UNSUCCESSFUL_ENDS | {RequestState.GRANTED},
    RequestState.GRANTED: _UNSUCCESSFUL_ENDS
    | {RequestState.QUEUED, RequestState.SENDING},
    RequestState.SENDING: _UNSUCCESSFUL_ENDS
    | {RequestState.QUEUED, RequestState.RUNNING},
    RequestState.RUNNING: _UNSUCCESSFUL_ENDS
    | {RequestState.QUEUED, RequestState.STREAMING, RequestState.ANSWERED},
    RequestState.STREAMING: _UNSUCCESSFUL_ENDS
    | {RequestState.QUEUED, RequestState.ANSWERED},
    RequestState.ANSWERED: frozenset(),
    RequestState.NOT_RUN: frozenset(),
    RequestState.UNKNOWN: frozenset(),
    RequestState.CANCELLED: frozenset(),
}
"""The transitions of the state machine.

``RECEIVED`` to ``ANSWERED``: the stored response of a key is replayed.
``STREAMING`` to ``QUEUED``: the request waits to resume its stream.
"""

FINAL_STATES = frozenset(
    state for state, next_states in TRANSITIONS.items() if not next_states
)
