"""The peer message about prompts that begin with what crashes endpoints."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.wire.peer_messages import peer_message


class PrefixLoss(NamedTuple):
    """A request that was lost in a crash, and the hash chain of its prompt."""

    endpoint: str
    request: int
    prefixes: tuple[int, ...]


@peer_message(63)
class PrefixNews(NamedTuple):
    """Requests of a pool lost at one time, and prefixes that have succeeded since.

    The receiver forwards what is new to it.
    """

    pool: str
    losses: tuple[PrefixLoss, ...]
    cleared: tuple[int, ...]
    age_ms: int
