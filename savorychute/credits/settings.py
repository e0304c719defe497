"""Settings of credits."""

from __future__ import annotations

from typing import NamedTuple


class CreditSettings(NamedTuple):
    """Durations and sizes of credits.

    ``subset_size`` is how many endpoints of a pool an instance uses at most.
    """

    subset_size: int = 16
