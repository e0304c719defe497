"""The verdicts of a witness on a key."""

from __future__ import annotations

from enum import StrEnum


class WitnessVerdict(StrEnum):
    """The verdict of a witness on a key.

    ``REVOKED``: not run and never will be.  ``STARTED``: may have run.
    ``RAN``: its request completed.  ``REUSED``: the key was used for a different
    request.  ``FORGOTTEN``: the witness has no evidence either way.
    """

    REVOKED = 'revoked'
    STARTED = 'started'
    RAN = 'ran'
    REUSED = 'reused'
    FORGOTTEN = 'forgotten'
