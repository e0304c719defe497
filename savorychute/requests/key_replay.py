"""Replay of the stored response of a key."""

from __future__ import annotations

from typing import NamedTuple


class KeyReplay(NamedTuple):
    """The request ran under this key; its stored response is sent again."""

    request_id: str
    status: int
    body: bytes
    content_type: str
