"""The message that carries records to another instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.configuration.pushed_record import PushedRecord  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(21)
class RecordsPush(NamedTuple):
    """New records, or the response to ``RecordsRequest``; offsets are consecutive.

    ``newest_offset`` is the offset of the sender, which may be beyond the records.
    """

    records: tuple[PushedRecord, ...]
    newest_offset: int
