"""The peer message about suspicions, quarantines and their lifting."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.recovery.poison_entry import PoisonEntry  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(60)
class PoisonNews(NamedTuple):
    """Entries that the receiver forwards if they are new to it."""

    entries: tuple[PoisonEntry, ...]
