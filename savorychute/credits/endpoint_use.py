"""How much of an endpoint is held and used."""

from __future__ import annotations

from typing import NamedTuple


class EndpointUse(NamedTuple):
    """An instance's standing at an endpoint, named by its hash in the group.

    ``held`` is its level while the grant lasts, ``in_use`` what runs.
    """

    endpoint: int
    held: int
    in_use: int
