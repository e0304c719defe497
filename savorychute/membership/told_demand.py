"""A member's estimate of the demand of one organisation."""

from __future__ import annotations

from typing import NamedTuple


class ToldDemand(NamedTuple):
    """Demand per instance, as one member knows it.

    ``key`` stands for a service, a tier and an organisation, or for all organisations
    together.  ``rate`` is the recent demand and ``usual`` the usual one, in requests for
    1,000 s; ``usual`` is 0 if it is not known.
    """

    key: int
    rate: int
    usual: int = 0
