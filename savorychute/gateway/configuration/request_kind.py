"""Kinds of requests, which decide whether a request may be retried."""

from __future__ import annotations

from enum import StrEnum


class RequestKind(StrEnum):
    """Whether the response is a stream, and whether the request may run twice."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'
