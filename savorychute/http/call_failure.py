"""The failure of an HTTP call."""

from __future__ import annotations

from typing import NamedTuple


class CallFailure(NamedTuple):
    """A call that ended without a complete response.

    ``sent`` is false only if no byte of the request was passed to the network.
    ``broken`` is true if the connection broke after that, ``too_large`` if the response
    exceeded the limit.
    """

    sent: bool
    broken: bool
    reason: str
    too_large: bool = False
