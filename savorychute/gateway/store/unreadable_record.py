"""A record of a topic that cannot be decoded."""

from __future__ import annotations

from typing import NamedTuple


class UnreadableRecord(NamedTuple):
    """The position of the record, its key if known, and the reason.

    ``offset`` is -1 if the listing does not state it.
    """

    offset: int
    key: str | None
    reason: str
