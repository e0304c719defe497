"""Claims that one instance appends to the log in one record."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

# msgspec evaluates the field annotations at run time.
from savorychute.requests.claim import Claim  # noqa: TC001
from savorychute.requests.claim_owner import ClaimOwner  # noqa: TC001

CLAIMS_STREAM = 'claims'


class ClaimBatch(NamedTuple):
    """One record of the claims stream.

    ``seen_offset``: at ``wall_ms`` of its wall clock the writer had read every
    record before this offset.  ``released``: keys of the owner that were not
    run and never will be.
    """

    batch_id: str
    owner: ClaimOwner
    wall_ms: int
    seen_offset: int
    claims: tuple[Claim, ...]
    released: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the payload of the log record."""
        return msgspec.json.encode(self)


def decode_batch(payload: bytes) -> ClaimBatch | None:
    """Return the batch in a payload, or None if the payload is invalid.

    :param payload: the payload of a log record.
    """
    try:
        return msgspec.json.decode(payload, type=ClaimBatch)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
