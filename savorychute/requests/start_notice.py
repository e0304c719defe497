"""An issuer's notice to the witness of a key."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(50)
class StartNotice(NamedTuple):
    """The issuer wants to start *key* at *endpoint* as *stream_id*.

    ``host`` and ``peer_port`` are where the answer goes, because the witness
    may not have met the issuer yet.
    """

    key: str
    fingerprint: str
    endpoint: str
    stream_id: str
    host: str
    peer_port: int
