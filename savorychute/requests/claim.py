"""A claim of one request key."""

from __future__ import annotations

from typing import NamedTuple


class Claim(NamedTuple):
    """A caller-supplied key, as 32 hexadecimal digits, and its request's hash."""

    key: str
    fingerprint: str
