"""Rendered metrics."""

from __future__ import annotations

from typing import NamedTuple


class MetricsText(NamedTuple):
    """The text of all metrics and its content type."""

    content_type: str
    body: bytes
