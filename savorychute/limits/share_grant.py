"""One organisation's part of a limit grant."""

from __future__ import annotations

from typing import NamedTuple


class ShareGrant(NamedTuple):
    """The units of an organisation's limits that the receiver may use.

    ``floor`` of them stay when the rest has ended without a renewal.
    ``must_acknowledge`` asks for a report at once, because others wait for
    what this grant takes back.
    """

    organisation: str
    sequence: int
    must_acknowledge: bool
    units: int
    floor: int
