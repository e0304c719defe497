"""An answer over HTTP."""

from __future__ import annotations

from typing import NamedTuple


class HttpReply(NamedTuple):
    """Status, headers with lower-case names, and the whole body."""

    status: int
    headers: dict[str, str]
    body: bytes
