"""An HTTP response that was read completely."""

from __future__ import annotations

from typing import NamedTuple


class HttpResponse(NamedTuple):
    """Status, headers with lower-case names, and the complete body."""

    status: int
    headers: dict[str, str]
    body: bytes
