"""The accepted claim of a lease."""

from __future__ import annotations

from typing import NamedTuple


class LeaseTerm(NamedTuple):
    """The holder of a lease according to the log as read by one instance.

    ``fencing`` is the offset of the holder's first claim, ``offset`` that of its
    last claim.  ``read_ms`` is when this instance read the last claim.
    """

    name: str
    holder: str
    fencing: int
    offset: int
    claim_id: str
    duration_ms: int
    read_ms: int
    released: bool = False
