"""A query to the witness of a key."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(52)
class KeyQuestion(NamedTuple):
    """Asks whether *key* was started; if it was not, the witness revokes it."""

    key: str
    fingerprint: str
    host: str
    peer_port: int
