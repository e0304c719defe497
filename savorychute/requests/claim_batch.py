"""Claims of one instance, appended together."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

# msgspec reads the annotations of fields while the program runs.
from savorychute.requests.claim import Claim  # noqa: TC001
from savorychute.requests.claim_owner import ClaimOwner  # noqa: TC001

CLAIMS_STREAM = 'claims'


class ClaimBatch(NamedTuple):
    """One record of the stream of claims.

    ``seen_offset``: when the writer's wall clock showed ``wall_ms`` it had
    read every record before that offset.  ``released`` keys belong to the
    owner, were certainly not run and never will be.
    """

    batch_id: str
    owner: ClaimOwner
    wall_ms: int
    seen_offset: int
    claims: tuple[Claim, ...]
    released: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.json.encode(self)


def decode_batch(payload: bytes) -> ClaimBatch | None:
    """Return the batch in a payload, or None if it is none.

    :param payload: a record's payload.
    """
    try:
        return msgspec.json.decode(payload, type=ClaimBatch)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
