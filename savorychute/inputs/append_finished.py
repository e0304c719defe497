"""The outcome of an append to the platform's log."""

from __future__ import annotations

from typing import NamedTuple


class AppendFinished(NamedTuple):
    """An append has ended.

    ``outcome`` is ``appended``, ``refused`` (the record is not in the log) or
    ``unknown`` (the reply was lost; the record may be in the log).
    """

    append_id: str
    stream: str
    outcome: str
    offset: int = -1
