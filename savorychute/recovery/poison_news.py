"""Suspicions, quarantines and their lifting, between instances."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.recovery.poison_entry import PoisonEntry  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(60)
class PoisonNews(NamedTuple):
    """Entries that the receiver passes on if they are new to it."""

    entries: tuple[PoisonEntry, ...]
