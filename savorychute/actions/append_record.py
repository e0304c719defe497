"""Append a record to the platform's log."""

from __future__ import annotations

from typing import NamedTuple


class AppendRecord(NamedTuple):
    """Append *payload*; the host delivers ``AppendFinished`` with the same id."""

    append_id: str
    stream: str
    payload: bytes
