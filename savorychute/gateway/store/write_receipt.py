"""The proof that a record was written."""

from __future__ import annotations

from typing import NamedTuple


class WriteReceipt(NamedTuple):
    """Where a record stands, and in which era of the store."""

    offset: int
    era: int
