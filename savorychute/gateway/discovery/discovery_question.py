"""A caller's question for addresses."""

from __future__ import annotations

from typing import NamedTuple


class DiscoveryQuestion(NamedTuple):
    """Where the caller is; either may be empty."""

    region: str
    failure_domain: str
