"""The mark in a request's body by which a run knows whose it is."""

from __future__ import annotations

import re

MARKER = re.compile(rb'#call=([\w.-]+)')


def write_marker(call_id: str) -> str:
    """Return the mark for a call."""
    return f'#call={call_id}'


def find_marker(body: bytes) -> str:
    """Return the call that a body belongs to, or an empty text."""
    found = MARKER.search(body)
    return found.group(1).decode() if found else ''
