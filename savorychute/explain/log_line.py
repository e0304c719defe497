"""One line of a log."""

from __future__ import annotations

from typing import Any, NamedTuple


class LogLine(NamedTuple):
    """A parsed line of a log; ``fields`` has all its fields."""

    timestamp_s: float
    instance: str
    event: str
    request_id: str
    fields: dict[str, Any]
