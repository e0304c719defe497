"""The peer message about leaving endpoints."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(62)
class LeavingNews(NamedTuple):
    """Endpoints that announced themselves that they are leaving.

    The receiver forwards those that it did not know yet.
    """

    endpoints: tuple[str, ...]
