"""A witness's answer to a question about a key."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(53)
class KeyVerdict(NamedTuple):
    """One of :class:`WitnessVerdict` for *key*, and the stream that it started."""

    key: str
    fingerprint: str
    verdict: str
    endpoint: str
    stream_id: str
