"""The record of one key at its witness."""

from __future__ import annotations

from typing import NamedTuple


class WitnessRecord(NamedTuple):
    """Either the start of a key or its revocation, never both.

    A ``revoked`` record has no endpoint.  ``ran``: the issuer reported that the
    request completed.
    """

    revoked: bool
    recorded_ms: int
    issuer: str
    incarnation: int
    sequence: int
    fingerprint: str
    endpoint: str = ''
    stream_id: str = ''
    ran: bool = False
