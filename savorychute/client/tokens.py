"""A part of a streamed answer."""

from __future__ import annotations

from typing import NamedTuple


class Tokens(NamedTuple):
    """Tokens ``offset`` to ``offset + token_count`` of an answer."""

    offset: int
    token_count: int
    text: str
