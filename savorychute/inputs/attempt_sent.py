"""An attempt that may have reached its endpoint."""

from __future__ import annotations

from typing import NamedTuple


class AttemptSent(NamedTuple):
    """The host is connected and is about to write the first byte."""

    attempt_id: str
