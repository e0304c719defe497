"""Where an instance is."""

from __future__ import annotations

from typing import NamedTuple


class MemberAddress(NamedTuple):
    """One instance's name, place and ports.

    ``incarnation`` is larger at each start of the same name, so that news of
    an earlier run is told from news of this one.
    """

    instance: str
    incarnation: int
    region: str
    failure_domain: str
    host: str
    caller_port: int
    peer_port: int
