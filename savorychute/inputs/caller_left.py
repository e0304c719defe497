"""A caller that has left."""

from __future__ import annotations

from typing import NamedTuple


class CallerLeft(NamedTuple):
    """The caller closed its connection, or stopped reading for too long."""

    request_id: str
