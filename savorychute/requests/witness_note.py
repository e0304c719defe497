"""What a witness remembers of one key."""

from __future__ import annotations

from typing import NamedTuple


class WitnessNote(NamedTuple):
    """Either the start of a key or its revocation, never both.

    ``revoked`` notes have no endpoint.  ``ran`` says that the issuer answered.
    """

    revoked: bool
    noted_ms: int
    issuer: str
    incarnation: int
    sequence: int
    fingerprint: str
    endpoint: str = ''
    stream_id: str = ''
    ran: bool = False
