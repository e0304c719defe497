"""A record of a topic that cannot be read."""

from __future__ import annotations

from typing import NamedTuple


class UnreadableRecord(NamedTuple):
    """Where it stands, its key if that can be had, and what is wrong.

    ``offset`` is -1 if the listing that shows it does not tell.
    """

    offset: int
    key: str | None
    reason: str
