"""Whether a request ran."""

from __future__ import annotations

from enum import StrEnum


class Ran(StrEnum):
    """The execution state of a request, as reported to the caller."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    RAN = 'ran'
