"""What began a stream, and the key under which instances record it."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

# A key begins with a digest of the organisation, so that each table can be shared
# fairly; the rest identifies the attempt.
OWNER_BYTES = 2
ATTEMPT_BYTES = 8
KEY_BYTES = OWNER_BYTES + ATTEMPT_BYTES


class StreamOrigin(NamedTuple):
    """The service and the software version of the endpoint that began a stream.

    Versions of two services are not comparable, and versions have no order.
    """

    service: str
    version: str


def make_stream_key(organisation: str, attempt_id: str) -> bytes:
    """Return the key of the stream whose first event an attempt brought.

    The organisation is a part of it, so that no caller can name a stream of another one.

    :param organisation: the organisation of the caller, empty for none.
    :param attempt_id: the caller's name for the attempt; any text.
    """
    owner = organisation.encode()
    attempt = owner + b'\0' + attempt_id.encode()
    return (
        blake2b(owner, digest_size=OWNER_BYTES).digest()
        + blake2b(attempt, digest_size=ATTEMPT_BYTES).digest()
    )
