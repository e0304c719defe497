"""A pull of records."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(20)
class RecordsRequest(NamedTuple):
    """Send me what follows *after_offset*.

    Answered by ``RecordsPush``, or by the first ``StatePart`` if the receiver
    no longer keeps these records.
    """

    after_offset: int
