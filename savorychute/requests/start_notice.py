"""A notice of an issuer to the witness of a key."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(50)
class StartNotice(NamedTuple):
    """The issuer is about to start *key* at *endpoint* as *stream_id*.

    ``host`` and ``peer_port`` are the address for the response, because the issuer
    may not be among the members that the witness knows.
    """

    key: str
    fingerprint: str
    endpoint: str
    stream_id: str
    host: str
    peer_port: int
