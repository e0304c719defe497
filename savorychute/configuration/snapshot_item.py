"""An item of a snapshot."""

from __future__ import annotations

from typing import NamedTuple

import msgspec  # noqa: TC002


class SnapshotItem(NamedTuple):
    """An item with its version and its document as canonical JSON."""

    item: str
    version: int
    document: msgspec.Raw
