"""The outcome of an append."""

from __future__ import annotations

from typing import NamedTuple


class AppendFinished(NamedTuple):
    """An append ended.

    ``outcome`` is ``appended``, ``refused`` (certainly not in the log) or
    ``unknown`` (the reply was lost; the record may be in the log).
    """

    append_id: str
    stream: str
    outcome: str
    offset: int = -1
