"""Settings of the retry budget."""

from __future__ import annotations

from typing import NamedTuple


class RetrySettings(NamedTuple):
    """Bounds of retries.

    ``burst`` is how many retries an organisation may save up, ``floor_per_s`` what
    it gets however few its requests are, ``organisations`` how many organisations are
    remembered.
    """

    burst: float = 5.0
    floor_per_s: float = 0.1
    organisations: int = 2_048
