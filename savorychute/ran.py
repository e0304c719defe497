"""Whether a request ran."""

from __future__ import annotations

from enum import StrEnum


class Ran(StrEnum):
    """What a caller is told about the execution of its request."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    RAN = 'ran'
