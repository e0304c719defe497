"""Permission to send a keyed request to an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class StartPermitted(NamedTuple):
    """Bytes of this request may leave for an endpoint now."""

    request_id: str
