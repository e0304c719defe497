"""Settings of learned output lengths."""

from __future__ import annotations

from typing import NamedTuple


class LengthSettings(NamedTuple):
    """The initial output length, and the maximum number of classes."""

    output_tokens: int = 128
    classes: int = 8_192
