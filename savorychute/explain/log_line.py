"""One line of a log."""

from __future__ import annotations

from typing import Any, NamedTuple


class LogLine(NamedTuple):
    """When, where and what; ``fields`` are all of the line's fields."""

    timestamp_s: float
    instance: str
    event: str
    request_id: str
    fields: dict[str, Any]
