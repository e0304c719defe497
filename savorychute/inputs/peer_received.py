"""A message from another instance."""

from __future__ import annotations

from typing import NamedTuple


class PeerReceived(NamedTuple):
    """A decoded and authenticated peer message, with its sender."""

    sender: str
    message: tuple[object, ...]
