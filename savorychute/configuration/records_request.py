"""The message that requests records from another instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(20)
class RecordsRequest(NamedTuple):
    """A request for the records that follow ``after_offset``.

    The response is ``RecordsPush``, or the first ``StatePart`` if the receiver no
    longer retains these records.
    """

    after_offset: int
