"""Ask for an append to the platform's log."""

from __future__ import annotations

from typing import NamedTuple


class AppendRecord(NamedTuple):
    """Append *payload*; answered by ``AppendFinished`` with the same id."""

    append_id: str
    stream: str
    payload: bytes
