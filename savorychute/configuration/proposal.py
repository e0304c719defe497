"""An operator's change that is pending."""

from __future__ import annotations

from typing import NamedTuple


class Proposal(NamedTuple):
    """A change that waits for its verdict.

    ``appended_offset`` is -1 until the log has returned an offset; ``in_doubt``
    means that the response of the log was lost.
    """

    command_id: str
    record_id: str
    item: str
    deadline_ms: int
    appended_offset: int = -1
    in_doubt: bool = False
