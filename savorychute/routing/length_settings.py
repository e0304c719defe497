"""Settings of learned output lengths."""

from __future__ import annotations

from typing import NamedTuple


class LengthSettings(NamedTuple):
    """The length to start from, and how many classes are remembered."""

    output_tokens: int = 128
    classes: int = 8_192
