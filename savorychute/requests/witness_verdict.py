"""What a witness says of a key."""

from __future__ import annotations

from enum import StrEnum


class WitnessVerdict(StrEnum):
    """What a witness says of a key.

    ``REVOKED``: not run and never will be.  ``STARTED``: may have run.
    ``RAN``: answered by its issuer.  ``REUSED``: the key belongs to another
    request.  ``FORGOTTEN``: the witness holds no evidence either way.
    """

    REVOKED = 'revoked'
    STARTED = 'started'
    RAN = 'ran'
    REUSED = 'reused'
    FORGOTTEN = 'forgotten'
