"""An order of the writes of one writer."""

from __future__ import annotations

from typing import NamedTuple


class WriteFence(NamedTuple):
    """Who writes, and the number of the write among all of this writer.

    The store refuses a write with a smaller number than one that it has taken, so a write
    that it executes late cannot replace a later one.
    """

    writer: str
    number: int
