"""The response of a witness to a query about a key."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(53)
class KeyVerdict(NamedTuple):
    """The verdict on *key* and the stream that was started under it.

    ``verdict`` is the value of a :class:`WitnessVerdict`.
    """

    key: str
    fingerprint: str
    verdict: str
    endpoint: str
    stream_id: str
