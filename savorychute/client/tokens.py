"""A part of a streamed response."""

from __future__ import annotations

from typing import NamedTuple


class Tokens(NamedTuple):
    """The tokens of a response from ``offset`` to ``offset + token_count``."""

    offset: int
    token_count: int
    text: str
