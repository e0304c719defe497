"""Records sent to another instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.configuration.pushed_record import PushedRecord  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(21)
class RecordsPush(NamedTuple):
    """News, or the answer to ``RecordsRequest``; offsets follow one another.

    ``newest_offset`` is the sender's, which may be beyond the records.
    """

    records: tuple[PushedRecord, ...]
    newest_offset: int
