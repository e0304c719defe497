"""The address of an instance."""

from __future__ import annotations

from typing import NamedTuple


class MemberAddress(NamedTuple):
    """An instance's name, location and ports.

    ``incarnation`` increases with each start under the same name, so that updates of
    an earlier incarnation can be distinguished from those of the current one.
    """

    instance: str
    incarnation: int
    region: str
    failure_domain: str
    host: str
    caller_port: int
    peer_port: int
