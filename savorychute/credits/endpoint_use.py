"""Levels held and used at an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class EndpointUse(NamedTuple):
    """An instance's use of an endpoint, identified by its hash in the group.

    ``held`` is its level while the grant is valid, ``in_use`` the number of running
    requests, of which ``without_credit`` run beside the level.
    """

    endpoint: int
    held: int
    in_use: int
    without_credit: int = 0
