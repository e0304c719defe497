"""An endpoint that broke off while it ran a request."""

from __future__ import annotations

from typing import NamedTuple


class CrashSighting(NamedTuple):
    """The request's fingerprint and the endpoint's name."""

    fingerprint: str
    endpoint: str
