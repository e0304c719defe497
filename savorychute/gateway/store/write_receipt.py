"""The confirmation that a record was written."""

from __future__ import annotations

from typing import NamedTuple


class WriteReceipt(NamedTuple):
    """The position of a record, and the era of the store."""

    offset: int
    era: int
