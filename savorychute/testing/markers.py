"""Markers in request bodies that identify the call of a request."""

from __future__ import annotations

import re

MARKER = re.compile(rb'#call=([\w.-]+)')


def write_marker(call_id: str) -> str:
    """Return the marker of a call."""
    return f'#call={call_id}'


def find_marker(body: bytes) -> str:
    """Return the id of the call that a body belongs to, or an empty string."""
    match = MARKER.search(body)
    return match.group(1).decode() if match else ''
