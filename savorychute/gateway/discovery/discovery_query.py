"""A caller's query for addresses of instances."""

from __future__ import annotations

from typing import NamedTuple


class DiscoveryQuery(NamedTuple):
    """The location of the caller; either field may be empty."""

    region: str
    failure_domain: str
