"""The order of the writes of one writer."""

from __future__ import annotations

from typing import NamedTuple


class WriteFence(NamedTuple):
    """The name of a writer, and the sequence number of its write.

    The store refuses a write whose number is smaller than one it has accepted, so a
    write that it executes late cannot replace a later one.
    """

    writer: str
    number: int
