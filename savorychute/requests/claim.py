"""One key that a batch of claims names."""

from __future__ import annotations

from typing import NamedTuple


class Claim(NamedTuple):
    """A caller-brought key, as 32 hexadecimal digits, and its request."""

    key: str
    fingerprint: str
