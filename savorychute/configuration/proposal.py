"""An operator's change on its way."""

from __future__ import annotations

from typing import NamedTuple


class Proposal(NamedTuple):
    """A change that waits for its verdict.

    ``appended_offset`` is -1 until the log has named an offset; ``in_doubt``
    says that the log's reply was lost.
    """

    command_id: str
    record_id: str
    item: str
    deadline_ms: int
    appended_offset: int = -1
    in_doubt: bool = False
