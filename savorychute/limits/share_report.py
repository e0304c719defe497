"""One organisation's part of a limit report."""

from __future__ import annotations

from typing import NamedTuple


class ShareReport(NamedTuple):
    """What an instance holds, uses and wants of an organisation's limits.

    All amounts are in units of one concurrent request, which stand for equal
    parts of the rate and of the tokens too.  ``home_epoch`` and ``sequence``
    name the last grant that was applied; ``floor`` lasts ``floor_left_ms``.
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
