"""The message that tells other instances of lost requests and of successes."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.crashes.lost_request import LostRequest  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


class TraitSuccess(NamedTuple):
    """How long ago a request with a trait succeeded."""

    trait: int
    age_ms: int


@peer_message(100)
class CrashReport(NamedTuple):
    """Requests of a service lost in crashes at one time, and successes with their traits.

    The successes are in the same message as the losses that they may refute.
    """

    service: str
    losses: tuple[LostRequest, ...]
    age_ms: int
    successes: tuple[TraitSuccess, ...]
