"""A suspected request as instances report it to each other."""

from __future__ import annotations

from typing import NamedTuple


class PoisonEntry(NamedTuple):
    """A fingerprint and the crashes that it coincided with.

    ``round`` is incremented when the suspicion is lifted, so that stale updates
    of the same fingerprint can be detected.  Within a round ``endpoints`` and
    ``crashes`` only grow.  ``lifetime_ms`` is the remaining lifetime, given as a
    duration because clocks differ between machines.
    """

    fingerprint: str
    round: int
    endpoints: tuple[str, ...]
    crashes: int
    quarantined: bool
    lifetime_ms: int
