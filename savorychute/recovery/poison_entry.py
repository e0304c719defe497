"""What one instance tells another of a suspected request."""

from __future__ import annotations

from typing import NamedTuple


class PoisonEntry(NamedTuple):
    """A fingerprint and the crashes that it coincided with.

    ``round`` grows when the suspicion is lifted, so that older news of the
    same fingerprint is told from newer.  Within a round ``endpoints`` and
    ``crashes`` only grow.  ``lifetime_ms`` is what is left of it: a duration,
    because clocks differ between machines.
    """

    fingerprint: str
    round: int
    endpoints: tuple[str, ...]
    crashes: int
    quarantined: bool
    lifetime_ms: int
