"""A stored answer for a key."""

from __future__ import annotations

from typing import NamedTuple


class KeyReplay(NamedTuple):
    """The request ran under this key; send its stored answer again."""

    request_id: str
    status: int
    body: bytes
    content_type: str
