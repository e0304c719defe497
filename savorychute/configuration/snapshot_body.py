"""The state of the configuration in a snapshot."""

from __future__ import annotations

from typing import TypedDict

from savorychute.configuration.snapshot_item import SnapshotItem  # noqa: TC001
from savorychute.configuration.verdict_row import VerdictRow  # noqa: TC001


class SnapshotBody(TypedDict):
    """All items and the remembered verdicts at an offset."""

    offset: int
    digest: int
    items: list[SnapshotItem]
    verdicts: list[VerdictRow]
