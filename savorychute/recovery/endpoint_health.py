"""The health of an endpoint."""

from __future__ import annotations

from enum import StrEnum


class EndpointHealth(StrEnum):
    """Whether an endpoint gets requests, as the ejector decides.

    A ``RAMPING`` endpoint gets a growing share of requests, an ``EJECTED`` one
    none until its ejection ends, and a ``LEAVING`` one none until a later report
    shows it as active.
    """

    HEALTHY = 'healthy'
    RAMPING = 'ramping'
    EJECTED = 'ejected'
    LEAVING = 'leaving'
