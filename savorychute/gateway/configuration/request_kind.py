"""What may be repeated of a request."""

from __future__ import annotations

from enum import StrEnum


class RequestKind(StrEnum):
    """How the answer comes, and whether a second run does harm."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'
