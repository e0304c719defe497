"""An attempt whose answer is not being read."""

from __future__ import annotations

from typing import NamedTuple


class AttemptPaused(NamedTuple):
    """The host reads no more for now, because the caller reads too slowly.

    Delivered every now and then while that lasts: the endpoint's silence is
    the caller's doing.
    """

    attempt_id: str
