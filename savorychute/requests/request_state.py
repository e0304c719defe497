"""The states of a request's life."""

from __future__ import annotations

from enum import StrEnum


class RequestState(StrEnum):
    """Where a request stands.

    ``GRANTED`` has an endpoint and a credit but no byte has left;
    ``SENDING`` begins when the host is about to write the first byte.
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
