"""One group's part of a credit report."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.credits.endpoint_use import EndpointUse  # noqa: TC001


class GroupReport(NamedTuple):
    """What an instance uses and wants of a group of endpoints.

    ``home_epoch`` and ``sequence`` identify the last grant that was applied.
    ``running`` and ``waiting`` count requests by tier, starting at tier 0.
    """

    group: int
    home_epoch: int
    sequence: int
    wants_spare: bool
    running: tuple[int, ...]
    waiting: tuple[int, ...]
    uses: tuple[EndpointUse, ...]
