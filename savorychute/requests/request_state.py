"""The states in the lifecycle of a request."""

from __future__ import annotations

from enum import StrEnum


class RequestState(StrEnum):
    """The state of a request.

    ``GRANTED``: the request has an endpoint and a credit, but no byte was sent.
    ``SENDING``: starts when the host is about to write the first byte.
    """

    RECEIVED = 'received'
    QUEUED = 'queued'
    GRANTED = 'granted'
    SENDING = 'sending'
    RUNNING = 'running'
    STREAMING = 'streaming'
    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    CANCELLED = 'cancelled'
