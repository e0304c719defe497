"""What an instance has read from the store, and its age."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.store.endpoint_news import EndpointNews  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(92)
class StoreAnswer(NamedTuple):
    """The response to the query with the same sequence number.

    Ages are as of the time when the response was created. ``endpoint_offset`` is -1 if
    some of the requested changes are unknown; offsets belong to an ``era`` of the
    store.
    """

    sequence: int
    configuration_version: int
    configuration_age_ms: int
    endpoint_offset: int
    endpoint_age_ms: int
    changes: tuple[EndpointNews, ...] = ()
    era: int = 0
