"""Whether an endpoint may get work."""

from __future__ import annotations

from enum import StrEnum


class EndpointHealth(StrEnum):
    """The ejector's view of an endpoint.

    ``RAMPING`` gets a growing share of work, ``EJECTED`` none until its time is
    over, ``LEAVING`` none until a report taken later says that it is back.
    """

    HEALTHY = 'healthy'
    RAMPING = 'ramping'
    EJECTED = 'ejected'
    LEAVING = 'leaving'
