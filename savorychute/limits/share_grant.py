"""One organisation's part of a limit grant."""

from __future__ import annotations

from typing import NamedTuple


class ShareGrant(NamedTuple):
    """The units of an organisation's limits that the receiver may use.

    ``floor`` of them remain valid when the others expire without a renewal.
    ``must_acknowledge`` requests a report at once, because other instances wait for the
    units that this grant reclaims.
    """

    organisation: str
    sequence: int
    must_acknowledge: bool
    units: int
    floor: int
