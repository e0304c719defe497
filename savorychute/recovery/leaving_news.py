"""Endpoints that leave, between instances."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


@peer_message(62)
class LeavingNews(NamedTuple):
    """Endpoints that said themselves that they are leaving.

    The receiver passes on those that are new to it.
    """

    endpoints: tuple[str, ...]
