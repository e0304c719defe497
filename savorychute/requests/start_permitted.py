"""Permission to send a keyed request to an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class StartPermitted(NamedTuple):
    """The request may be sent to an endpoint now."""

    request_id: str
