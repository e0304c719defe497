"""One record of the platform's log."""

from __future__ import annotations

from typing import NamedTuple


class LogRecord(NamedTuple):
    """A payload and its offset in the log."""

    offset: int
    payload: bytes
