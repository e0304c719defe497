"""What an instance has read of the store, and how old that is."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.store.endpoint_news import EndpointNews  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(92)
class StoreAnswer(NamedTuple):
    """The answer to the question with the same sequence number.

    Ages are counted when the answer is written.  ``endpoint_offset`` is -1 if the
    changes that were asked for are not all known; offsets are of an ``era`` of the store.
    """

    sequence: int
    configuration_version: int
    configuration_age_ms: int
    endpoint_offset: int
    endpoint_age_ms: int
    changes: tuple[EndpointNews, ...] = ()
    era: int = 0
