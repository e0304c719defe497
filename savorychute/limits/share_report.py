"""One organisation's part of a limit report."""

from __future__ import annotations

from typing import NamedTuple


class ShareReport(NamedTuple):
    """What an instance holds, uses and wants of an organisation's limits.

    All amounts are in units of one concurrent request; a unit also stands for an equal
    part of the rate and of the tokens.  ``home_epoch`` and ``sequence`` identify the
    last grant that was applied; ``floor`` expires in ``floor_left_ms``.
    """

    organisation: str
    home_epoch: int
    sequence: int
    held: int
    floor: int
    floor_left_ms: int
    in_use: int
    wanted: int
    wants_spare: bool
