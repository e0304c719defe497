"""The message by which an instance tells another what is known of engines."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(102)
class EngineNews(NamedTuple):
    """Rows of observations of engines, by the sender and by others.

    ``rows`` is encoded by :mod:`savorychute.gateway.engines.speed_codec`.
    """

    rows: bytes
