"""The verdict on a request by its fingerprint."""

from __future__ import annotations

from enum import StrEnum


class PoisonVerdict(StrEnum):
    """Whether a request may run, and where.

    ``SUSPECT``: it was running on an endpoint that crashed; it may run on its
    preferred endpoint.  ``HELD``: it must not run now, but may later.
    ``QUARANTINED``: it must not run.
    """

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    HELD = 'held'
    QUARANTINED = 'quarantined'
